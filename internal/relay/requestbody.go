package relay

import (
	"encoding/json"

	"github.com/cockroachdb/errors"
	"github.com/tidwall/sjson"
)

// endpointBody returns the body to send to an endpoint: the caller's, always
// streamed, and with the place from which to resume.
func endpointBody(body []byte, next uint64, text []byte) ([]byte, error) {
	out, err := sjson.SetRawBytes(body, fieldStream, []byte("true"))
	if err != nil {
		return nil, errors.Wrap(err, "set stream")
	}
	if out, err = sjson.DeleteBytes(out, fieldResume); err != nil {
		return nil, errors.Wrap(err, "remove resume")
	}
	if next == 0 {
		return out, nil
	}
	resume, err := json.Marshal(Resume{NextSeq: next, Text: string(text)})
	if err != nil {
		return nil, errors.Wrap(err, "encode resume")
	}
	out, err = sjson.SetRawBytes(out, fieldResume, resume)
	return out, errors.Wrap(err, "set resume")
}
