package dynamic

import "filbertmill.example/config/source"

// section returns the section of the kind and name, which must exist.
func (p *parser) section(kind, name string) *source.Section {
	return p.sections[kind+" "+name]
}

// checkReferences reports routes and targets that name a service that doesn't exist.
func (p *parser) checkReferences() {
	known := map[string]bool{}
	for _, s := range p.config.Services {
		known[s.Name] = true
	}
	for _, kind := range []string{sectionRoute, sectionTarget} {
		for _, section := range p.doc.SectionsOfKind(kind) {
			entry := section.Entry("service")
			if entry != nil && !known[entry.Value] {
				p.report(section, entry.Key, "there is no service %q", entry.Value)
			}
		}
	}
}

// checkRoutes reports routes that match the same requests as another route.
func (p *parser) checkRoutes() {
	type match struct{ host, prefix string }
	first := map[match]string{}
	for _, r := range p.config.Routes {
		m := match{host: r.Host, prefix: r.PathPrefix}
		if other, found := first[m]; found {
			section := p.section(sectionRoute, r.Name)
			p.report(section, "", "matches the same requests as route %s: host %s, prefix %s", other, m.host, m.prefix)
			continue
		}
		first[m] = r.Name
	}
}

// checkAddresses reports targets that share an address: their slots would be
// counted twice.
func (p *parser) checkAddresses() {
	first := map[string]string{}
	for _, t := range p.config.Targets {
		if t.Name == "" || t.Address == "" {
			continue
		}
		if other, found := first[t.Address]; found {
			p.report(p.section(sectionTarget, t.Name), "address", "the address belongs to target %s already", other)
			continue
		}
		first[t.Address] = t.Name
	}
}

// checkExceptions reports exceptions that can't be applied, and those that change
// the same setting as another exception.
func (p *parser) checkExceptions() {
	type setting struct{ scope, key string }
	first := map[setting]string{}
	trial := p.config.clone()
	for _, e := range p.config.Exceptions {
		section := p.section(sectionException, e.Name)
		if e.Scope == "" || e.Key == "" || e.Value == "" {
			continue
		}
		p.checkException(section, trial, e)
		changed := setting{scope: e.Scope, key: e.Key}
		if other, found := first[changed]; found {
			p.report(section, "key", "exception %s changes %s of %s already", other, e.Key, e.Scope)
			continue
		}
		first[changed] = e.Name
	}
}

// checkException applies the exception to trial, a copy of the configuration, and
// reports the problem if that fails.
func (p *parser) checkException(section *source.Section, trial *Config, e Exception) {
	if problem := trial.apply(e); problem != nil {
		p.report(section, problem.key, "%v", problem.err)
	}
}
