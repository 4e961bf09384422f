package frontend

import (
	"encoding/json"
	"io"
	"net"

	"damsonscale/internal/eventlog"
	"damsonscale/internal/upstream"
)

// copyBufferBytes is the size of the pieces in which a resumed stream is copied.
const copyBufferBytes = 4 << 10

// resumedStreamBytes is the memory of a resumed stream: its read buffer, and a piece as it is read and as it is encoded.
const resumedStreamBytes = 16<<10 + 2*copyBufferBytes

// ResumeStream continues a stream that the predecessor has handed over, and closes both connections when it ends. It can
// be handed over again. payload is the JSON of the payload given to Successor.TransferStream. ResumeStream does not block.
func (f *Frontend) ResumeStream(payload []byte, client, server net.Conn) {
	c := f.adoptConn(client)
	c.requestMemory.GrowInherited(resumedStreamBytes)
	release := f.sidecar.AdoptServerSocket()
	go func() {
		defer release()
		defer server.Close()
		defer c.Close()
		err := f.copyResumedStream(payload, c, server)
		if err != nil && err != upstream.ErrDetached {
			eventlog.Warn(eventResumedStreamFailed, err)
			c.resetOnClose()
		}
	}()
}

// copyResumedStream copies the rest of a stream to the client. It returns upstream.ErrDetached if the stream was handed over
// to the successor.
func (f *Frontend) copyResumedStream(payload []byte, c *clientConn, server net.Conn) error {
	var m streamMessage
	if err := json.Unmarshal(payload, &m); err != nil {
		return err
	}
	stream, err := upstream.Resume(server, m.Stream, f.sidecar.Hosts())
	if err != nil {
		return err
	}
	f.streams.Add(1)
	s := f.newClientStream(c, stream, m.Chunked)
	defer s.Close()
	if _, err := c.Write(m.Unsent); err != nil {
		return err
	}
	var encoded []byte
	for buf := make([]byte, copyBufferBytes); ; {
		n, err := s.Read(buf)
		if err != nil && err != io.EOF {
			return err
		}
		encoded = encoded[:0]
		for _, part := range upstream.EncodeBodyPiece(buf[:n], m.Chunked, err == io.EOF) {
			encoded = append(encoded, part...)
		}
		if _, writeErr := c.Write(encoded); writeErr != nil {
			return writeErr
		}
		if err == io.EOF {
			return nil
		}
	}
}
