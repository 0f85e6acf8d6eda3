package static

import (
	"slices"

	"filbertmill.example/config/internal/schema"
	"filbertmill.example/config/source"
)

// Parse parses the settings of a node, fills in the defaults and returns all
// problems. The settings are usable only if there is no problem.
func Parse(file string, src []byte) (*Settings, []source.Problem) {
	doc, problems := source.Read(file, src)
	s := &Settings{}
	for _, name := range sectionNames {
		schema.Defaults(sections[name], s)
	}
	for _, section := range doc.Sections {
		problems = append(problems, readSection(section, s)...)
	}
	for _, name := range sectionNames {
		problems = append(problems, checkRequired(file, doc, name)...)
	}
	problems = append(problems, checkPlatform(file, doc)...)
	return s, source.SortProblems(problems)
}

func readSection(section *source.Section, into *Settings) []source.Problem {
	fields, found := sections[section.Header]
	if !found {
		return []source.Problem{section.Problem("", "unknown section of a node's settings")}
	}
	return schema.Apply(fields, section, into)
}

func checkRequired(file string, doc *source.Document, name string) []source.Problem {
	return schema.Missing(sections[name], findSection(file, doc, name))
}

// findSection returns the section, or an empty one at line 1 if the file has none.
func findSection(file string, doc *source.Document, name string) *source.Section {
	index := slices.IndexFunc(doc.Sections, func(s *source.Section) bool { return s.Header == name })
	if index < 0 {
		return &source.Section{File: file, Header: name, Kind: name, Line: 1}
	}
	return doc.Sections[index]
}

// checkPlatform reports a problem unless the file gives exactly one source of the
// fleet configuration.
func checkPlatform(file string, doc *source.Document) []source.Problem {
	section := findSection(file, doc, sectionPlatform)
	hasFile := section.Entry(keyConfigFile) != nil
	hasStore := section.Entry(keyStore) != nil
	switch {
	case hasFile && hasStore:
		return []source.Problem{section.Problem(keyConfigFile, "%s and %s exclude each other", keyConfigFile, keyStore)}
	case !hasFile && !hasStore:
		return []source.Problem{section.Problem("", "one of %s and %s is required", keyConfigFile, keyStore)}
	}
	return nil
}
