package replica

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"

	"filbertmill.example/platform"
)

// emptySum is the sum of a copy without entries. It differs from 0, which stands for a
// copy that cannot be compared.
const emptySum uint64 = 1

// checksum returns the checksum of the copy, or 0 if it holds entries beyond its revision:
// a snapshot is read page by page, and its later pages may be newer.
func (r *Replica) checksum() uint64 {
	if r.highest > r.revision || len(r.announced) > 0 {
		return 0
	}
	return r.sum
}

// itemHash returns the hash of an entry, or 0 if it is removed. Its value needs no part in
// it: a revision of the store belongs to one write.
func itemHash(item platform.Item) uint64 {
	if item.Key == "" || item.Deleted {
		return 0
	}
	return xxhash.Sum64(binary.LittleEndian.AppendUint64([]byte(item.Key), uint64(item.Revision)))
}
