package replica

import (
	"encoding/json"

	"github.com/cockroachdb/errors"
)

// Prefix is the prefix of the keys that the fleet keeps in the store. NodePrefix is
// the prefix of the registrations of its nodes.
const (
	Prefix     = "filbertmill/"
	NodePrefix = Prefix + "nodes/"
)

// Node is a node of the fleet as it registered itself. It may no longer be running.
type Node struct {
	// Name identifies the node's host.
	Name string `json:"name"`
	// AvailabilityZone is the availability zone in which the node runs.
	AvailabilityZone string `json:"availability_zone"`
	// ControlAddress is the address for messages of other nodes.
	ControlAddress string `json:"control_address"`
	// CPUShare is the node's share of one CPU core. LinkMbps is the bandwidth of its
	// link in Mbit/s.
	CPUShare float64 `json:"cpu_share"`
	LinkMbps float64 `json:"link_mbps"`
}

// Key returns the key of the node's registration.
func (n Node) Key() string { return NodePrefix + n.Name }

// Encode returns the registration in the form in which it is stored.
func (n Node) Encode() []byte {
	data, err := json.Marshal(n)
	if err != nil {
		panic("replica: cannot encode a node registration: " + err.Error())
	}
	return data
}

// DecodeNode parses a registration that Encode returned. It fails if the registration
// has no name or control address.
func DecodeNode(value []byte) (Node, error) {
	var n Node
	if err := json.Unmarshal(value, &n); err != nil {
		return Node{}, errors.Wrap(err, "node")
	}
	if n.Name == "" || n.ControlAddress == "" {
		return Node{}, errors.New("node registration without a name or control address")
	}
	return n, nil
}
