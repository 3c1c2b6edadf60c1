package peer

import (
	"context"
	"errors"
	"strconv"

	"connectrpc.com/connect"

	"mangopier.example/mangopier/internal/protocol/code"
)

// codeHeader holds the number of the result code, next to connect's own code.
const codeHeader = "Mangopier-Code"

// encodeErrors is an interceptor that gives errors of handlers a connect code and
// codeHeader.
func encodeErrors(next connect.UnaryFunc) connect.UnaryFunc {
	return func(ctx context.Context, request connect.AnyRequest) (connect.AnyResponse, error) {
		response, err := next(ctx, request)
		if err == nil {
			return response, nil
		}
		resultCode := code.FromError(err)
		connectError := connect.NewError(connectCode(resultCode), err)
		connectError.Meta().Set(codeHeader, strconv.Itoa(int(resultCode)))
		return nil, connectError
	}
}

// decodeError returns err with the result code that the peer set. Without one it
// is code.MessageMalformed if connect refused the message as invalid, and otherwise
// code.PeerUnreachable.
func decodeError(err error, address string) error {
	if err == nil {
		return nil
	}
	var connectError *connect.Error
	if !errors.As(err, &connectError) {
		return code.Wrap(err, code.PeerUnreachable, "call "+address)
	}
	number, parseErr := strconv.Atoi(connectError.Meta().Get(codeHeader))
	if parseErr == nil {
		return code.Errorf(code.Code(number), "call %s: %s", address, connectError.Message())
	}
	if connectError.Code() == connect.CodeInvalidArgument {
		return code.Wrap(err, code.MessageMalformed, "call "+address)
	}
	return code.Wrap(err, code.PeerUnreachable, "call "+address)
}

func connectCode(resultCode code.Code) connect.Code {
	switch resultCode {
	case code.MessageMalformed, code.RowMalformed:
		return connect.CodeInvalidArgument
	case code.RowMissing:
		return connect.CodeNotFound
	case code.Internal:
		return connect.CodeInternal
	default:
		return connect.CodeUnavailable
	}
}
