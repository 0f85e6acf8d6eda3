package static

import (
	"strings"

	"github.com/cockroachdb/errors"

	"filbertmill.example/config/internal/schema"
)

const (
	seedSeparator     = ","
	seedPartSeparator = "@"
)

// seedForm is the form of one seed in the file.
const seedForm = "name@availability-zone@peer-address@control-address"

// seedParts is the number of parts of seedForm.
const seedParts = 4

func seedsField() field {
	return field{
		Key:  "seeds",
		Unit: "comma list of " + seedForm,
		Set: func(into *Settings, text string) error {
			seeds, err := parseSeeds(text)
			if err != nil {
				return err
			}
			into.Seeds = seeds
			return nil
		},
	}
}

func parseSeeds(text string) ([]Seed, error) {
	var seeds []Seed
	for part := range strings.SplitSeq(text, seedSeparator) {
		part = strings.TrimSpace(part)
		if part == "" {
			continue
		}
		seed, err := parseSeed(part)
		if err != nil {
			return nil, err
		}
		seeds = append(seeds, seed)
	}
	return seeds, nil
}

func parseSeed(text string) (Seed, error) {
	parts := strings.Split(text, seedPartSeparator)
	if len(parts) != seedParts {
		return Seed{}, errors.Newf("seed %q is not in the form %s", text, seedForm)
	}
	seed := Seed{Name: parts[0], AvailabilityZone: parts[1], PeerAddress: parts[2], ControlAddress: parts[3]}
	checks := []error{
		schema.CheckName(seed.Name),
		schema.CheckName(seed.AvailabilityZone),
		schema.CheckRemoteAddress(seed.PeerAddress),
		schema.CheckRemoteAddress(seed.ControlAddress),
	}
	for _, err := range checks {
		if err != nil {
			return Seed{}, errors.Newf("seed %q: %v", text, err)
		}
	}
	return seed, nil
}

func checkKey(s *Settings) error {
	if len(s.SharedKey) < minKeyBytes {
		return errors.Newf("the key has %d bytes, fewer than %d", len(s.SharedKey), minKeyBytes)
	}
	return nil
}
