package source

import (
	"bytes"
	"strings"
	"unicode"
	"unicode/utf8"
)

// keyDelimiter separates a key from its value.
const keyDelimiter = "="

// maxKeys is the most keys in one section: keys are found by a linear search.
const maxKeys = 256

// byteOrderMark may precede UTF-8 text.
var byteOrderMark = []byte("\xef\xbb\xbf")

// sectionLines holds the line of a section's header and of each of its keys.
type sectionLines struct {
	// name is the text between the header's brackets.
	name string
	// header is the line of the header.
	header int
	keys   []keyLine
}

// keyLine is the line of one key.
type keyLine struct {
	key  string
	line int
}

// find returns the line of the key, or 0 if the section has no such key.
func (s *sectionLines) find(key string) int {
	for _, k := range s.keys {
		if k.key == key {
			return k.line
		}
	}
	return 0
}

// scanState is the position of a scan relative to the sections.
type scanState int

const (
	// beforeSections means that no section has begun.
	beforeSections scanState = iota
	// inSection means that keys belong to the current section.
	inSection
	// inInvalidSection means that keys are skipped, since the header above them
	// is invalid.
	inInvalidSection
)

// index holds the line of each section and key of an INI text.
type index struct {
	file     string
	sections map[string]*sectionLines
	problems []Problem
	// section is the section that the scan is in, or nil if there is none or its
	// header is invalid.
	section *sectionLines
	state   scanState
}

// scan indexes the text and returns it without the invalid lines.
func (x *index) scan(src []byte) []byte {
	for bytes.HasPrefix(src, byteOrderMark) {
		src = src[len(byteOrderMark):]
	}
	var kept bytes.Buffer
	number := 0
	for line := range bytes.Lines(src) {
		number++
		if x.scanLine(number, line) {
			kept.Write(line)
		}
	}
	return kept.Bytes()
}

// scanLine indexes one line and reports whether the INI library may read it.
func (x *index) scanLine(number int, line []byte) bool {
	if !utf8.Valid(line) || bytes.IndexByte(line, 0) >= 0 {
		return x.reject(number, "", "the line is not UTF-8 text")
	}
	text := strings.TrimFunc(string(line), unicode.IsSpace)
	switch {
	case text == "":
		return true
	case text[0] == '#' || text[0] == ';':
		return true
	case text[0] == '[':
		return x.scanSection(number, text)
	default:
		return x.scanKey(number, text)
	}
}

func (x *index) scanSection(number int, text string) bool {
	x.section = nil
	x.state = inInvalidSection
	end := strings.LastIndexByte(text, ']')
	if end < 0 {
		return x.reject(number, "", "the section header has no closing bracket")
	}
	name := text[1:end]
	normalized := strings.Join(strings.Fields(name), " ")
	if normalized == "" {
		return x.reject(number, "", "the section has no name")
	}
	if normalized != name {
		return x.reject(number, "", "surplus spaces: write the section as [%s]", normalized)
	}
	x.state = inSection
	if first, found := x.sections[name]; found {
		x.section = first
		x.reject(number, "", "the section is already at line %d", first.header)
		return true // Its keys are checked as part of the first section.
	}
	x.section = &sectionLines{name: name, header: number}
	x.sections[name] = x.section
	return true
}

func (x *index) scanKey(number int, text string) bool {
	if x.state == inInvalidSection {
		return false
	}
	key, value, found := strings.Cut(text, keyDelimiter)
	key = strings.TrimSpace(key)
	value = strings.TrimSpace(value)
	switch {
	case !found:
		return x.reject(number, "", "the line is neither a section, a key with a value nor a comment")
	case key == "" || key == "-" || key[0] == '"' || key[0] == '`':
		return x.reject(number, "", "the line has no valid key")
	case x.state == beforeSections:
		return x.reject(number, key, "the key stands before the first section")
	case strings.HasPrefix(value, `"""`) || strings.HasPrefix(value, "`"):
		return x.reject(number, key, "multi-line quotes are not supported")
	}
	if first := x.section.find(key); first > 0 {
		return x.reject(number, key, "the key is already at line %d", first)
	}
	if len(x.section.keys) == maxKeys {
		return x.reject(number, key, "the section has more than %d keys", maxKeys)
	}
	x.section.keys = append(x.section.keys, keyLine{key: key, line: number})
	return true
}
