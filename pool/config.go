package pool

// Config holds the settings of one service.
type Config struct {
	// Service is the service's name.
	Service string
	// FloorSlots is the healthy capacity, in slots, below which no ejection
	// may take the service.
	FloorSlots int
	// QueueLimit is the most attempts that wait at once. A longer queue rides
	// out longer bursts; requests with a deadline too close are refused anyway.
	QueueLimit int
	// CallerShare is the largest share of slots and queue, from 0 to 1, that
	// one caller may hold while others wait. 1 switches the rule off.
	CallerShare float64
	// LongShare is the share of slots, from 0 to 1, that long work may hold.
	LongShare float64
}
