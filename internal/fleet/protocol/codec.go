package protocol

import "github.com/fxamacker/cbor/v2"

// Bounds on decoded data.
const (
	maxArrayElements = 1 << 16
	maxMapPairs      = 1 << 12
	maxNestedLevels  = 12
)

// Codec encodes payloads as canonical CBOR and decodes them within bounds. It may be used from any goroutine.
type Codec struct {
	decode       cbor.DecMode
	decodeStored cbor.DecMode
	encode       cbor.EncMode
}

// NewCodec returns a codec.
func NewCodec() (*Codec, error) {
	options := cbor.DecOptions{
		MaxArrayElements: maxArrayElements, MaxMapPairs: maxMapPairs, MaxNestedLevels: maxNestedLevels,
		IndefLength: cbor.IndefLengthForbidden, TagsMd: cbor.TagsForbidden, ExtraReturnErrors: cbor.ExtraDecErrorUnknownField,
	}
	decode, err := options.DecMode()
	if err != nil {
		return nil, err
	}
	options.UTF8 = cbor.UTF8DecodeInvalid
	decodeStored, err := options.DecMode()
	if err != nil {
		return nil, err
	}
	encode, err := cbor.EncOptions{Sort: cbor.SortCanonical}.EncMode()
	return &Codec{decode, decodeStored, encode}, err
}

// Marshal encodes a value.
func (c *Codec) Marshal(v any) ([]byte, error) { return c.encode.Marshal(v) }

// Unmarshal decodes data into v. It returns an error for data that exceeds the bounds or has unknown fields or trailing bytes.
func (c *Codec) Unmarshal(data []byte, v any) error { return c.decode.Unmarshal(data, v) }

// UnmarshalStored is Unmarshal for snapshots of the membership log. Their settings have raw digests as text keys, which need not be
// valid UTF-8.
func (c *Codec) UnmarshalStored(data []byte, v any) error { return c.decodeStored.Unmarshal(data, v) }
