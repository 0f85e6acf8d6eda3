package dynamic

import (
	"cmp"
	"slices"

	"filbertmill.example/config/internal/schema"
	"filbertmill.example/config/source"
)

// The kinds of sections.
const (
	sectionConfiguration = "configuration"
	sectionDefaults      = "defaults"
	sectionService       = "service"
	sectionRoute         = "route"
	sectionTarget        = "target"
	sectionException     = "exception"
)

// Parse parses a fleet configuration, fills in the defaults and returns all
// problems. The configuration is usable only if there is no problem.
//
// Exceptions are checked and listed, but not applied: whether one has expired
// depends on the time of use, which is not the time of parsing. Call
// Config.Effective to apply them.
func Parse(file string, src []byte) (*Config, []source.Problem) {
	doc, problems := source.Read(file, src)
	p := &parser{doc: doc, problems: problems, sections: map[string]*source.Section{}}
	p.readDefaults()
	p.readSections()
	p.checkReferences()
	p.checkRoutes()
	p.checkAddresses()
	p.checkExceptions()
	p.sort()
	return &p.config, source.SortProblems(p.problems)
}

// parser builds a Config and collects the problems of its text.
type parser struct {
	doc *source.Document
	// sections holds the sections by header.
	sections map[string]*source.Section
	problems []source.Problem
	config   Config
	// defaultService and defaultRoute hold the defaults of services and routes.
	defaultService Service
	defaultRoute   Route
}

func (p *parser) report(s *source.Section, key, format string, args ...any) {
	p.problems = append(p.problems, s.Problem(key, format, args...))
}

// readDefaults fills in the default service and route.
func (p *parser) readDefaults() {
	schema.Defaults(serviceFields, &p.defaultService)
	schema.Defaults(routeFields, &p.defaultRoute)
	for _, section := range p.doc.SectionsOfKind(sectionDefaults) {
		for _, entry := range section.Entries {
			p.readDefault(section, entry)
		}
	}
}

func (p *parser) readDefault(section *source.Section, entry source.Entry) {
	var err error
	if f := schema.Find(serviceFields, entry.Key); f != nil && !f.Fixed {
		err = f.Set(&p.defaultService, entry.Value)
	} else if f := schema.Find(routeFields, entry.Key); f != nil && !f.Fixed {
		err = f.Set(&p.defaultRoute, entry.Value)
	} else {
		p.report(section, entry.Key, "unknown key, or one that has no default")
		return
	}
	if err != nil {
		p.report(section, entry.Key, "%v", err)
	}
}

func (p *parser) readSections() {
	for _, section := range p.doc.Sections {
		p.sections[section.Header] = section
		p.readSection(section)
	}
}

func (p *parser) readSection(section *source.Section) {
	switch section.Header {
	case sectionDefaults:
		return
	case sectionConfiguration:
		p.problems = append(p.problems, schema.Apply(configurationFields, section, &p.config)...)
		return
	}
	switch section.Kind {
	case sectionService:
		s := p.defaultService
		s.Name = section.Name
		p.config.Services = append(p.config.Services, readNamed(p, serviceFields, section, s))
	case sectionRoute:
		r := p.defaultRoute
		r.Name = section.Name
		p.config.Routes = append(p.config.Routes, readNamed(p, routeFields, section, r))
	case sectionTarget:
		p.config.Targets = append(p.config.Targets, readNamed(p, targetFields, section, Target{Name: section.Name}))
	case sectionException:
		e := Exception{Name: section.Name}
		p.config.Exceptions = append(p.config.Exceptions, readNamed(p, exceptionFields, section, e))
	default:
		p.report(section, "", "unknown section of a fleet configuration")
	}
}

// readNamed returns value with the fields set that the section gives, and reports
// the problems of the section. The section must have a name.
func readNamed[T any](p *parser, fields []schema.Field[T], section *source.Section, value T) T {
	if section.Name == "" {
		p.report(section, "", "the section needs a name: [%s NAME]", section.Kind)
	} else if err := schema.CheckName(section.Name); err != nil {
		p.report(section, "", "%v", err)
	}
	p.problems = append(p.problems, schema.Apply(fields, section, &value)...)
	p.problems = append(p.problems, schema.Missing(fields, section)...)
	return value
}

// sort sorts all lists of the configuration by name.
func (p *parser) sort() {
	c := &p.config
	slices.SortFunc(c.Services, func(a, b Service) int { return cmp.Compare(a.Name, b.Name) })
	slices.SortFunc(c.Routes, func(a, b Route) int { return cmp.Compare(a.Name, b.Name) })
	slices.SortFunc(c.Targets, func(a, b Target) int { return cmp.Compare(a.Name, b.Name) })
	slices.SortFunc(c.Exceptions, func(a, b Exception) int { return cmp.Compare(a.Name, b.Name) })
}
