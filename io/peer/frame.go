package peer

import (
	"bytes"

	"github.com/fxamacker/cbor/v2"

	"balsamproxy"
)

// streamID identifies one exchange on a link. The dialling side assigns it.
type streamID uint64

// frame is the unit of the link protocol. A call or a question opens a stream;
// all other frames refer to an open stream, except Leaving and Status, which
// concern the whole link. A frame may set several fields at once.
type frame struct {
	Stream streamID `cbor:"1,keyasint,omitempty"`
	// Call is the head of a call to a target. It opens the stream.
	Call *balsamproxy.CallHead `cbor:"2,keyasint,omitempty"`
	// Answer is the head of the response to a call.
	Answer *balsamproxy.ResponseHead `cbor:"3,keyasint,omitempty"`
	// Refusal ends the stream instead of a response or the rest of its body.
	Refusal *balsamproxy.Refusal `cbor:"4,keyasint,omitempty"`
	// Data is the next chunk of a body.
	Data []byte `cbor:"5,keyasint,omitempty"`
	// End marks the end of a complete body.
	End bool `cbor:"6,keyasint,omitempty"`
	// Credit extends the flow-control window by this many body bytes.
	Credit int `cbor:"7,keyasint,omitempty"`
	// Cancel aborts the stream; the sender no longer waits for the response.
	Cancel bool `cbor:"8,keyasint,omitempty"`
	// Leaving announces that the sender accepts no new calls on the link.
	Leaving bool `cbor:"9,keyasint,omitempty"`
	// Question is a request between daemons. It opens the stream.
	Question *question `cbor:"10,keyasint,omitempty"`
	// Reply is the response to a question.
	Reply *reply `cbor:"11,keyasint,omitempty"`
	// Status is the current status of the sender.
	Status *balsamproxy.Status `cbor:"12,keyasint,omitempty"`
	// Recall asks to refuse the call unless it has been sent to its target. A peer
	// that does not know the field goes on with the call.
	Recall bool `cbor:"13,keyasint,omitempty"`
}

// Kind selects the handler of a question.
type Kind string

type question struct {
	Kind Kind            `cbor:"1,keyasint"`
	Body cbor.RawMessage `cbor:"2,keyasint"`
}

type reply struct {
	Body    cbor.RawMessage `cbor:"1,keyasint,omitempty"`
	Problem string          `cbor:"2,keyasint,omitempty"`
}

const (
	// windowBytes is the initial flow-control window: the body bytes that may be
	// sent before the reader grants more credit.
	windowBytes = 64 << 10
	// chunkBytes is the maximum size of Data in one frame.
	chunkBytes = 16 << 10
	// pendingMax bounds the bytes queued for writing on one link.
	pendingMax = 8 << 20
	// messageMax bounds the size of one WebSocket message.
	messageMax = pendingMax + 1<<20

	// elementsMax bounds the pairs of a map and the elements of an array. It exceeds
	// what fits into the longest head, so that no head ends a link; messageMax bounds
	// the memory.
	elementsMax     = 1 << 20
	nestedLevelsMax = 8
)

type codec struct {
	encoder cbor.UserBufferEncMode
	decoder cbor.DecMode
}

// newCodec discards the errors of the CBOR modes: the options are constant and
// valid.
func newCodec() codec {
	encoder, _ := cbor.EncOptions{}.UserBufferEncMode()
	decoder, _ := cbor.DecOptions{
		MaxMapPairs:      elementsMax,
		MaxArrayElements: elementsMax,
		MaxNestedLevels:  nestedLevelsMax,
		// Header values and paths may contain any bytes.
		UTF8:        cbor.UTF8DecodeInvalid,
		DupMapKey:   cbor.DupMapKeyEnforcedAPF,
		IndefLength: cbor.IndefLengthForbidden,
	}.DecMode()
	return codec{encoder: encoder, decoder: decoder}
}

func (codec codec) encode(frame *frame, buffer *bytes.Buffer) error {
	return codec.encoder.MarshalToBuffer(frame, buffer)
}

// decode decodes the first frame in data and returns the remaining bytes.
func (codec codec) decode(data []byte) (frame, []byte, error) {
	var decoded frame
	rest, err := codec.decoder.UnmarshalFirst(data, &decoded)
	return decoded, rest, err
}
