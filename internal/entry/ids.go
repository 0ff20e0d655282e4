package entry

import (
	"crypto/rand"
	"encoding/hex"
	"strconv"
	"sync/atomic"

	"github.com/chicorylug/chicorylug/internal/model"
)

const idPrefixBytes = 10 // random bytes that make the IDs of different processes differ

// idSource generates request IDs that are unique among all daemons and over their
// restarts.
type idSource struct {
	prefix string
	count  atomic.Uint64
}

func newIDSource() *idSource {
	var prefix [idPrefixBytes]byte
	_, _ = rand.Read(prefix[:])
	return &idSource{prefix: hex.EncodeToString(prefix[:]) + "-"}
}

func (s *idSource) next() model.RequestID {
	return model.RequestID(s.prefix + strconv.FormatUint(s.count.Add(1), 36))
}
