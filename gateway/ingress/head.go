package ingress

import (
	herrors "github.com/cloudwego/hertz/pkg/common/errors"
	"github.com/cloudwego/hertz/pkg/protocol"
	"github.com/cloudwego/hertz/pkg/protocol/http1/req"
	"github.com/cockroachdb/errors"

	"filbertmill.example/exchange"
	"filbertmill.example/exchange/hop"
)

const (
	// minHeadBytes is the first size of the buffer of a head that arrives in pieces. It
	// doubles as the head grows.
	minHeadBytes = 1 << 10
	// defaultHeadBytes limits heads while no configuration does.
	defaultHeadBytes = 1 << 20
)

// The errors of heads.
var (
	errHeadTooLarge = errors.Wrap(herrors.ErrHeaderTooLarge, "head")
	errNotRequest   = errors.New("the bytes are no request")
)

// readHead reads the head of a request into r. The codec's own reader parses a head from
// its start for each piece that arrives, and keeps every copy until the request ends.
func (c *conn) readHead(r *protocol.Request, m *requestMemory, limit int) error {
	if limit <= 0 {
		limit = defaultHeadBytes
	}
	c.reading.Progress()
	defer c.reading.EndWait()
	buffered, err := c.nc.Peek(c.nc.Len())
	if err != nil {
		return err
	}
	var scan exchange.HeadScan
	if end := scan.End(buffered); end > limit {
		return errHeadTooLarge
	} else if end > 0 {
		if err := c.parseHead(r, m, buffered[:end]); err != nil {
			return err
		}
		return c.nc.Skip(end)
	}
	head, err := c.readHeadPieces(m, &scan, limit)
	if err != nil {
		return err
	}
	return c.parseHead(r, m, head)
}

// readHeadPieces reads a head that the codec's buffer does not hold in all. What is read
// beyond its end is put back.
func (c *conn) readHeadPieces(m *requestMemory, scan *exchange.HeadScan, limit int) ([]byte, error) {
	head, err := c.takeBuffered(m)
	if err != nil {
		return nil, err
	}
	for {
		end := scan.End(head)
		switch {
		case end > limit, end == 0 && len(head) >= limit:
			return nil, errHeadTooLarge
		case end > 0:
			c.socket.putBack(head[end:])
			return head[:end:end], nil
		case !exchange.BeginsRequest(head):
			return nil, errNotRequest
		case c.reading.Aborted():
			return nil, errNoMemory
		}
		if len(head) == cap(head) {
			size := min(2*cap(head), limit)
			if err := m.setHead(int64(cap(head) + size)); err != nil {
				return nil, err
			}
			head = append(make([]byte, 0, size), head...)
			if err := m.setHead(int64(size)); err != nil {
				return nil, err
			}
		}
		n, err := requestReader{c}.Read(head[len(head):cap(head)])
		head = head[:len(head)+n]
		if n > 0 {
			c.reading.Progress()
		} else if err != nil {
			return nil, err
		}
	}
}

// takeBuffered takes what the codec has buffered into the buffer of a head.
func (c *conn) takeBuffered(m *requestMemory) ([]byte, error) {
	size := max(c.nc.Len(), minHeadBytes)
	if err := m.setHead(int64(size)); err != nil {
		return nil, err
	}
	b, err := c.nc.Peek(c.nc.Len())
	if err != nil {
		return nil, err
	}
	head := append(make([]byte, 0, size), b...)
	if err := c.nc.Skip(len(head)); err != nil {
		return nil, err
	}
	return head, c.nc.Release()
}

// parseHead parses a complete head into r, which keeps no reference to its bytes.
func (c *conn) parseHead(r *protocol.Request, m *requestMemory, head []byte) error {
	if err := m.setHead(handlingBytes(head)); err != nil {
		return err
	}
	src := exchange.NewHeadReader(head)
	if err := req.ReadHeader(&r.Header, src); err != nil {
		return errors.Wrapf(errNotRequest, "%v", err)
	}
	if src.Len() > 0 {
		return errors.Wrapf(errNotRequest, "%d bytes behind the last field", src.Len())
	}
	if err := hop.CheckFraming(&r.Header); err != nil {
		return errors.Wrapf(errNotRequest, "%v", err)
	}
	r.Header.SetRawHeaders(nil) // another copy of the head, of no further use
	return nil
}
