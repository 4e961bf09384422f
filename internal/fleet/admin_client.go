package fleet

import (
	"context"
	"net"
	"time"

	"damsonscale/internal/fleet/protocol"
	"damsonscale/internal/frame"
)

const (
	adminDialTimeout   = 300 * time.Millisecond
	adminRequestBuffer = 64 << 10 // initial capacity in bytes for an encoded request
)

// SendAdminRequest sends an operator's request to the member at an address and returns its response, with the segments of all
// partial responses joined. An error means that no response was received; an error of the member itself is in the response's Err.
func SendAdminRequest(ctx context.Context, address string, memberNames []string, r AdminRequest) (*AdminResponse, error) {
	codec, err := protocol.NewCodec()
	if err != nil {
		return nil, err
	}
	r.FleetID = protocol.FleetID(memberNames)
	payload, err := codec.Marshal(r)
	if err != nil {
		return nil, err
	}
	encoded, err := frame.Append(make([]byte, 0, adminRequestBuffer), byte(protocol.KindAdmin), payload)
	if err != nil {
		return nil, err
	}
	dialer := net.Dialer{Timeout: adminDialTimeout}
	conn, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	defer conn.Close()
	defer context.AfterFunc(ctx, func() { conn.Close() })()
	conn.SetDeadline(time.Now().Add(adminTimeout + adminWriteTimeout))
	if _, err := conn.Write(encoded); err != nil {
		return nil, err
	}
	return readAdminResponse(conn, codec)
}

// readAdminResponse reads partial responses up to the last, and joins their segments.
func readAdminResponse(conn net.Conn, codec *protocol.Codec) (*AdminResponse, error) {
	var complete AdminResponse
	for {
		kind, payload, err := frame.Read(conn)
		if err != nil {
			return nil, err
		}
		if protocol.Kind(kind) != protocol.KindAdmin {
			return nil, protocol.ErrUnknownKind
		}
		var part AdminResponse
		if err := codec.Unmarshal(payload, &part); err != nil {
			return nil, err
		}
		part.Segments = append(complete.Segments, part.Segments...)
		if complete = part; !part.More {
			return &complete, nil
		}
	}
}
