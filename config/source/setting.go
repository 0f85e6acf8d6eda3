package source

// Setting describes one key for the documentation.
type Setting struct {
	// Section is the section's header, for example "service NAME".
	Section string
	// Key is the key's name.
	Key string
	// Unit names the unit or form of the value.
	Unit string
	// Default is the value if the key is not given; empty if there is none.
	Default string
	// Required is set if the key must be given.
	Required bool
}
