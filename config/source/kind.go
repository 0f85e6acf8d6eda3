package source

// Kind is the kind of a settings file.
type Kind int

// The kinds of settings files.
const (
	// KindUnknown means that the file has no section of a known kind.
	KindUnknown Kind = iota
	// KindNode is the settings of one node.
	KindNode
	// KindFleet is a fleet configuration.
	KindFleet
)

// sectionKinds maps the first word of a section's header to the kind of file
// that has such sections.
var sectionKinds = map[string]Kind{
	"node":          KindNode,
	"listen":        KindNode,
	"fleet":         KindNode,
	"platform":      KindNode,
	"drain":         KindNode,
	"log":           KindNode,
	"configuration": KindFleet,
	"defaults":      KindFleet,
	"service":       KindFleet,
	"route":         KindFleet,
	"target":        KindFleet,
	"exception":     KindFleet,
}

// KindOf returns the kind of the settings text, by its first known section.
func KindOf(src []byte) Kind {
	doc, _ := Read("", src)
	for _, s := range doc.Sections {
		if kind, found := sectionKinds[s.Kind]; found {
			return kind
		}
	}
	return KindUnknown
}
