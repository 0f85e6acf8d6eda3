package node

import (
	"strconv"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"

	"filbertmill.example/config/dynamic"
	"filbertmill.example/fleet"
)

// parseDocument parses an accepted configuration and checks it again. The
// revision and the change id come from the document's version, whatever the text
// states.
func parseDocument(d fleet.Document) (*dynamic.Config, error) {
	cfg, problems := dynamic.Parse("revision "+d.Version.String(), d.Text)
	if len(problems) > 0 {
		return nil, errors.Newf("%d problems, the first: %v", len(problems), problems[0])
	}
	cfg.Revision = dynamic.Revision(d.Version.Revision)
	cfg.ChangeID = d.Version.ChangeID
	return cfg, nil
}

// initialDocument returns the configuration in the settings as a document, or nil
// if there is none. Nodes with equal configurations get equal versions.
func initialDocument(cfg *dynamic.Config) *fleet.Document {
	if cfg == nil || len(cfg.Services) == 0 && len(cfg.Routes) == 0 {
		return nil
	}
	text := dynamic.Format(cfg)
	id := cfg.ChangeID
	if id == "" {
		id = "file-" + strconv.FormatUint(xxhash.Sum64(text), 16)
	}
	return &fleet.Document{
		Version: fleet.Version{Revision: max(1, int64(cfg.Revision)), ChangeID: id},
		Author:  "settings",
		Text:    text,
	}
}

// serviceLoads returns the load of each service, weighted by its slots.
func serviceLoads(cfg *dynamic.Config) []fleet.Load {
	loads := make([]fleet.Load, len(cfg.Services))
	at := make(map[string]int, len(cfg.Services))
	for i := range cfg.Services {
		loads[i].Name = cfg.Services[i].Name
		at[loads[i].Name] = i
	}
	for _, t := range cfg.Targets {
		i, ok := at[t.Service]
		if !ok {
			continue
		}
		loads[i].Weight += poolTarget(&cfg.Services[i], t, false).Slots
	}
	return loads
}
