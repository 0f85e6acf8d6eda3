// Package schema describes the keys of a settings section. One description
// serves reading, writing and the documentation.
package schema

import "filbertmill.example/config/source"

// Field describes one key that sets a part of a T.
type Field[T any] struct {
	// Key is the key's name in the file.
	Key string
	// Unit names the unit or form of the value.
	Unit string
	// Default is the value, in the file's form, of a key that is not given.
	Default string
	// Required is set if the key must be given.
	Required bool
	// Fixed is set if neither defaults nor exceptions may change the key.
	Fixed bool
	// Set parses a value and stores it; its error describes what is wrong with
	// the value.
	Set func(into *T, value string) error
	// Get returns the value in the form that Set parses.
	Get func(from *T) string
}

// Find returns the field with the key, or nil.
func Find[T any](fields []Field[T], key string) *Field[T] {
	for i := range fields {
		if fields[i].Key == key {
			return &fields[i]
		}
	}
	return nil
}

// Defaults sets every field that has a default.
func Defaults[T any](fields []Field[T], into *T) {
	for _, f := range fields {
		if f.Default == "" {
			continue
		}
		if err := f.Set(into, f.Default); err != nil {
			panic("schema: the default of " + f.Key + " is not valid: " + err.Error())
		}
	}
}

// Apply sets the fields that the section gives, and returns its unknown keys and
// invalid values as problems.
func Apply[T any](fields []Field[T], section *source.Section, into *T) []source.Problem {
	var problems []source.Problem
	for _, entry := range section.Entries {
		field := Find(fields, entry.Key)
		if field == nil {
			problems = append(problems, section.Problem(entry.Key, "unknown key"))
			continue
		}
		if err := field.Set(into, entry.Value); err != nil {
			problems = append(problems, section.Problem(entry.Key, "%v", err))
		}
	}
	return problems
}

// Missing returns the required keys that the section does not give as problems.
func Missing[T any](fields []Field[T], section *source.Section) []source.Problem {
	var problems []source.Problem
	for _, f := range fields {
		if f.Required && section.Entry(f.Key) == nil {
			problems = append(problems, section.Problem(f.Key, "the key is required"))
		}
	}
	return problems
}

// Reference describes the fields of a section for the documentation.
func Reference[T any](section string, fields []Field[T]) []source.Setting {
	settings := make([]source.Setting, 0, len(fields))
	for _, f := range fields {
		s := source.Setting{Section: section, Key: f.Key, Unit: f.Unit, Default: f.Default, Required: f.Required}
		settings = append(settings, s)
	}
	return settings
}
