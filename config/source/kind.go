package source

// Kind names what a settings file is for.
type Kind int

// The kinds of settings files.
const (
	// KindUnknown means that no section tells the kind.
	KindUnknown Kind = iota
	// KindNode is the settings of one node.
	KindNode
	// KindFleet is a fleet configuration.
	KindFleet
)

// sectionKinds tells which sections belong to which kind of file.
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

// KindOf tells what the text is for by the first section that it knows.
func KindOf(src []byte) Kind {
	doc, _ := Read("", src)
	for _, s := range doc.Sections {
		if kind, found := sectionKinds[s.Kind]; found {
			return kind
		}
	}
	return KindUnknown
}
