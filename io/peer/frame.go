package peer

import (
	"bytes"

	"github.com/fxamacker/cbor/v2"

	"balsamproxy"
)

// streamID names one exchange on a link, chosen by the side that dialled.
type streamID uint64

// frame is one message on a link. A call or a question opens a stream; all
// other frames name an open one. A frame may carry several parts at once.
type frame struct {
	Stream streamID `cbor:"1,keyasint,omitempty"`
	// Call opens a stream with a call to a target.
	Call *balsamproxy.CallHead `cbor:"2,keyasint,omitempty"`
	// Answer is the head of the answer to a call.
	Answer *balsamproxy.ResponseHead `cbor:"3,keyasint,omitempty"`
	// Refusal ends a stream in place of an answer or of the rest of its body.
	Refusal *balsamproxy.Refusal `cbor:"4,keyasint,omitempty"`
	// Data is the next part of a body.
	Data []byte `cbor:"5,keyasint,omitempty"`
	// End says that the body is whole.
	End bool `cbor:"6,keyasint,omitempty"`
	// Credit permits that many more bytes of body.
	Credit int `cbor:"7,keyasint,omitempty"`
	// Cancel says that nobody waits for the answer any more.
	Cancel bool `cbor:"8,keyasint,omitempty"`
	// Leaving says that the sender takes no new calls. It names no stream.
	Leaving bool `cbor:"9,keyasint,omitempty"`
	// Question opens a stream with a question between daemons.
	Question *question `cbor:"10,keyasint,omitempty"`
	// Reply answers a question.
	Reply *reply `cbor:"11,keyasint,omitempty"`
	// Status tells what the sender is; it names no stream.
	Status *balsamproxy.Status `cbor:"12,keyasint,omitempty"`
}

// Kind tells questions between daemons apart.
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
	// windowBytes is how much of a body may be under way unread.
	windowBytes = 64 << 10
	// chunkBytes is the largest part of a body in one frame.
	chunkBytes = 16 << 10
	// pendingMax is how many bytes may wait to be written on one link.
	pendingMax = 8 << 20
	// messageMax bounds one WebSocket message.
	messageMax = pendingMax + 1<<20

	mapPairsMax     = 1024
	arrayLengthMax  = 4096
	nestedLevelsMax = 8
)

type codec struct {
	encoder cbor.UserBufferEncMode
	decoder cbor.DecMode
}

// newCodec cannot fail, since its options never change.
func newCodec() codec {
	encoder, _ := cbor.EncOptions{}.UserBufferEncMode()
	decoder, _ := cbor.DecOptions{
		MaxMapPairs:      mapPairsMax,
		MaxArrayElements: arrayLengthMax,
		MaxNestedLevels:  nestedLevelsMax,
		DupMapKey:        cbor.DupMapKeyEnforcedAPF,
		IndefLength:      cbor.IndefLengthForbidden,
	}.DecMode()
	return codec{encoder: encoder, decoder: decoder}
}

func (codec codec) encode(frame *frame, buffer *bytes.Buffer) error {
	return codec.encoder.MarshalToBuffer(frame, buffer)
}

// decode returns the first frame in data and the rest.
func (codec codec) decode(data []byte) (frame, []byte, error) {
	var decoded frame
	rest, err := codec.decoder.UnmarshalFirst(data, &decoded)
	return decoded, rest, err
}
