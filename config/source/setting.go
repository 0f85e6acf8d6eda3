package source

// Setting describes one key for the documentation.
type Setting struct {
	// Section is the section as it is written, for example "service NAME".
	Section string
	// Key is the key's name.
	Key string
	// Unit names the unit or form of the value.
	Unit string
	// Default is the value if the key is not given; empty if there is none.
	Default string
	// Required says that the key must be given.
	Required bool
}
