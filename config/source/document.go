package source

import (
	"fmt"
	"strings"

	"gopkg.in/ini.v1"
)

// Document is a parsed INI text with the line of each section and key.
type Document struct {
	// Sections holds the sections in the order of the text.
	Sections []*Section
}

// Section is one section of a Document.
type Section struct {
	// File is the document's file name.
	File string
	// Header is the text between the brackets, for example "service bookings".
	Header string
	// Kind is the first word of the header and Name the rest.
	Kind string
	Name string
	// Line is the line of the header.
	Line int
	// Entries holds the keys in the order of the text.
	Entries []Entry
}

// Entry is one key with its value.
type Entry struct {
	Key   string
	Value string
	Line  int
}

// loadOptions make every value end with its line, and keep quotes and comment
// characters in it as they are.
var loadOptions = ini.LoadOptions{
	IgnoreContinuation:      true,
	IgnoreInlineComment:     true,
	PreserveSurroundedQuote: true,
	KeyValueDelimiters:      keyDelimiter,
}

// Read parses INI text. Invalid lines are reported and left out of the document.
func Read(file string, src []byte) (*Document, []Problem) {
	x := &index{file: file, sections: map[string]*sectionLines{}}
	text := x.scan(src)
	parsed, err := ini.LoadSources(loadOptions, text)
	if err != nil {
		x.reject(1, "", "not an INI file: %v", err)
		return &Document{}, x.problems
	}
	doc := &Document{}
	for _, section := range parsed.Sections() {
		if lines, found := x.sections[section.Name()]; found {
			doc.Sections = append(doc.Sections, x.convert(section, lines))
		}
	}
	return doc, x.problems
}

// Entry returns the entry with the key, or nil.
func (s *Section) Entry(key string) *Entry {
	for i := range s.Entries {
		if s.Entries[i].Key == key {
			return &s.Entries[i]
		}
	}
	return nil
}

// Problem returns a Problem at the key, or at the section's header if the key
// is not given there.
func (s *Section) Problem(key, format string, args ...any) Problem {
	p := Problem{File: s.File, Line: s.Line, Section: s.Header, Key: key, Text: fmt.Sprintf(format, args...)}
	if entry := s.Entry(key); entry != nil {
		p.Line = entry.Line
	}
	return p
}

// SectionsOfKind returns the sections of a kind, in the order of the text.
func (d *Document) SectionsOfKind(kind string) []*Section {
	var sections []*Section
	for _, s := range d.Sections {
		if s.Kind == kind {
			sections = append(sections, s)
		}
	}
	return sections
}

// reject records a problem at a line and returns false.
func (x *index) reject(line int, key, format string, args ...any) bool {
	p := Problem{File: x.file, Line: line, Section: x.header(), Key: key, Text: fmt.Sprintf(format, args...)}
	x.problems = append(x.problems, p)
	return false
}

// header returns the header of the section that the scan is in, or "".
func (x *index) header() string {
	if x.section == nil {
		return ""
	}
	return x.section.name
}

// convert builds a Section from the values that the INI library parsed and the
// indexed lines.
func (x *index) convert(parsed *ini.Section, lines *sectionLines) *Section {
	kind, name, _ := strings.Cut(lines.name, " ")
	s := &Section{File: x.file, Header: lines.name, Kind: kind, Name: name, Line: lines.header}
	for _, k := range lines.keys {
		entry := Entry{Key: k.key, Value: parsed.Key(k.key).Value(), Line: k.line}
		s.Entries = append(s.Entries, entry)
	}
	return s
}
