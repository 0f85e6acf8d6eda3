package source

import (
	"bytes"
	"strings"
	"unicode"
	"unicode/utf8"
)

// keyDelimiter separates a key from its value.
const keyDelimiter = "="

// byteOrderMark may precede UTF-8 text.
var byteOrderMark = []byte("\xef\xbb\xbf")

// place is a section and a key within it; the key is empty for the section itself.
type place struct {
	section, key string
}

// scanState says where in the text a scan is.
type scanState int

const (
	// beforeSections means that no section has begun.
	beforeSections scanState = iota
	// inSection means that keys belong to the present section.
	inSection
	// inFaultySection means that keys are passed over since their header is faulty.
	inFaultySection
)

// index holds the line of each section and key of an INI text.
type index struct {
	file     string
	lines    map[place]int
	problems []Problem
	// section is the section that the scan is in.
	section string
	state   scanState
}

// scan indexes the text and returns it without the lines that are faulty.
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

// scanLine reports whether the line can be handed to the INI library.
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
	x.section = ""
	x.state = inFaultySection
	end := strings.LastIndexByte(text, ']')
	if end < 0 {
		return x.reject(number, "", "the section header has no closing bracket")
	}
	name := text[1:end]
	plain := strings.Join(strings.Fields(name), " ")
	if plain == "" {
		return x.reject(number, "", "the section has no name")
	}
	if plain != name {
		return x.reject(number, "", "surplus spaces: write the section as [%s]", plain)
	}
	x.section = name
	x.state = inSection
	at := place{section: name}
	if first, found := x.lines[at]; found {
		x.reject(number, "", "the section is already at line %d", first)
		return true // Its keys are checked as part of the first section.
	}
	x.lines[at] = number
	return true
}

func (x *index) scanKey(number int, text string) bool {
	if x.state == inFaultySection {
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
	at := place{section: x.section, key: key}
	if first, found := x.lines[at]; found {
		return x.reject(number, key, "the key is already at line %d", first)
	}
	x.lines[at] = number
	return true
}
