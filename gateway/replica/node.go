package replica

import (
	"encoding/json"

	"github.com/cockroachdb/errors"
)

// Prefix is the prefix of the keys that the fleet keeps in the store, and
// NodePrefix that of its nodes' registrations.
const (
	Prefix     = "filbertmill/"
	NodePrefix = Prefix + "nodes/"
)

// Node is a node of the fleet as it registered itself. It may have ended since.
type Node struct {
	// Name identifies the node's host.
	Name string `json:"name"`
	// AvailabilityZone is where it runs.
	AvailabilityZone string `json:"availability_zone"`
	// ControlAddress takes messages of other nodes.
	ControlAddress string `json:"control_address"`
	// CPUShare is its share of one core; LinkMbps the bandwidth of its link.
	CPUShare float64 `json:"cpu_share"`
	LinkMbps float64 `json:"link_mbps"`
}

// Key returns the key of the node's registration.
func (n Node) Key() string { return NodePrefix + n.Name }

// Encode returns the registration as it is stored.
func (n Node) Encode() []byte {
	data, err := json.Marshal(n)
	if err != nil {
		panic("replica: a node of plain fields cannot be encoded: " + err.Error())
	}
	return data
}

// DecodeNode reads a registration.
func DecodeNode(value []byte) (Node, error) {
	var n Node
	if err := json.Unmarshal(value, &n); err != nil {
		return Node{}, errors.Wrap(err, "node")
	}
	if n.Name == "" || n.ControlAddress == "" {
		return Node{}, errors.New("node without a name or address")
	}
	return n, nil
}
