package front

import (
	"net"
	"net/http"

	"github.com/lesismal/nbio/nbhttp"
)

// writer is the response that a handler writes. It hides the ReadFrom method of the
// library's response from io.Copy, since that method does not frame a body without
// a Content-Length.
//
// It also keeps the chunks that the library gathers below 64 KiB. At that size the
// library sends them, gives their buffer back and goes on using it, so that bytes
// of one response end up in another one.
type writer struct {
	response  *nbhttp.Response
	request   *http.Request
	conn      *conn
	processor *processor

	begun         bool
	gatheredBytes int // in the library's buffer
}

const (
	maxGatheredBytes = 48 << 10
	maxChunkBytes    = 32 << 10
	chunkFrameBytes  = 16 // size line and line ends of a chunk, also of the last one
)

// Header returns the header to be sent.
func (writer *writer) Header() http.Header { return writer.response.Header() }

// RequestsBehind reports whether another request of the connection has arrived, or begun to,
// behind this one. If this response closes the connection, it gets no response.
func (writer *writer) RequestsBehind() bool { return writer.processor.requestsBehind() }

// WriteHeader sets the status. The library ignores a status that has no registered name,
// and would write 200; the connection writes it in place of another one.
func (writer *writer) WriteHeader(status int) {
	if http.StatusText(status) == "" {
		writer.conn.replaceStatus(status)
		status = placeholderStatus
	}
	writer.response.WriteHeader(status)
}

// Write writes a part of the body. It returns net.ErrClosed if an earlier part could
// not be sent.
func (writer *writer) Write(data []byte) (int, error) {
	if !writer.isChunked() {
		return writer.response.Write(data)
	}
	for written := 0; written < len(data); {
		chunk := data[written:min(len(data), written+maxChunkBytes)]
		if err := writer.writeChunk(chunk); err != nil {
			return written, err
		}
		written += len(chunk)
	}
	return len(data), nil
}

// Flush sends what has been gathered.
func (writer *writer) Flush() {
	writer.response.Flush()
	writer.begun, writer.gatheredBytes = true, 0
}

// isChunked reports whether the library will write the body in chunks.
func (writer *writer) isChunked() bool {
	header := writer.Header()
	if header.Get("Transfer-Encoding") == "chunked" {
		return true
	}
	return writer.request.ProtoAtLeast(1, 1) && header.Get("Content-Length") == ""
}

func (writer *writer) writeChunk(chunk []byte) error {
	if !writer.begun {
		writer.begun, writer.gatheredBytes = true, headerBytes(writer.Header())
	}
	bytes := len(chunk) + chunkFrameBytes
	if writer.gatheredBytes+bytes > maxGatheredBytes {
		writer.Flush()
	}
	if writer.conn.failed.Load() {
		return net.ErrClosed
	}
	writer.gatheredBytes += bytes
	_, err := writer.response.Write(chunk)
	return err
}

// headerBytes returns the size of a header in a response, with room for the status
// line and the fields that the library adds.
func headerBytes(header http.Header) int {
	const statusLineBytes, fieldFrameBytes = 512, 4
	bytes := statusLineBytes
	for name, values := range header {
		for _, value := range values {
			bytes += len(name) + len(value) + fieldFrameBytes
		}
	}
	return bytes
}
