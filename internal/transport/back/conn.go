package back

import (
	"context"
	"io"
	"net"
	"net/http"

	"mangopier.example/mangopier/internal/transport/dial"
	"mangopier.example/mangopier/internal/transport/head"
)

// dialTarget makes a connection for calls to a target.
func (client *Client) dialTarget(ctx context.Context, network, address string) (net.Conn, error) {
	conn, err := client.dialer.DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	return head.Wrap(dial.ForCalls(conn)), nil
}

// callBody is the body of an answer. Its connection is busy until all of it has been read.
type callBody struct {
	io.ReadCloser

	conn *dial.CallConn
}

func (body *callBody) Read(buffer []byte) (int, error) {
	count, err := body.ReadCloser.Read(buffer)
	if err == io.EOF {
		body.conn.SetBusy(false)
	}
	return count, err
}

// watchBody returns the body of a response to a call on a connection.
func watchBody(conn *dial.CallConn, response *http.Response) io.ReadCloser {
	if conn == nil || response.Body == http.NoBody {
		return response.Body
	}
	conn.SetBusy(true)
	return &callBody{ReadCloser: response.Body, conn: conn}
}
