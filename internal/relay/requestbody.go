package relay

import (
	"encoding/json"

	"github.com/cockroachdb/errors"
	"github.com/tidwall/sjson"
)

// endpointBody returns the request body for an endpoint: the caller's body with
// streaming enabled and, if next is above 0, the position and text to resume
// from.
func endpointBody(body []byte, next uint64, text []byte) ([]byte, error) {
	out, err := sjson.SetRawBytes(body, fieldStream, []byte("true"))
	if err != nil {
		return nil, errors.Wrap(err, "set the stream field of the request")
	}
	if out, err = sjson.DeleteBytes(out, fieldResume); err != nil {
		return nil, errors.Wrap(err, "remove the resume field of the request")
	}
	if next == 0 {
		return out, nil
	}
	resume, err := json.Marshal(Resume{NextSeq: next, Text: string(text)})
	if err != nil {
		return nil, errors.Wrap(err, "encode the resume field of the request")
	}
	out, err = sjson.SetRawBytes(out, fieldResume, resume)
	return out, errors.Wrap(err, "set the resume field of the request")
}
