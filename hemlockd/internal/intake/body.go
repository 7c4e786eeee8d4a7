package intake

import (
	"context"
	"errors"
	"io"
	"net/http"
)

// ErrNoMemory reports that a body has not been read because there is no memory for it.
var ErrNoMemory = errors.New("there is no memory for the request's body")

// firstBodyBytes is how much room a body without a length gets first.
const firstBodyBytes = 4 << 10

// ReadBody reads the body of a request, of the given length or, if that is negative, up to its end. Its memory is taken
// from the account of ctx; the error is ErrNoMemory if there is too little. A length above limit is an
// *[http.MaxBytesError]; body itself must end a longer one that names none, see [http.MaxBytesReader].
func ReadBody(ctx context.Context, body io.Reader, length, limit int64) ([]byte, error) {
	if length > limit {
		return nil, &http.MaxBytesError{Limit: limit}
	}
	room := length
	if length < 0 {
		room = firstBodyBytes
	}
	account := Of(ctx)
	var read []byte
	for {
		if !account.TakeBody(int64(len(read)) + room) { // the old room is free only after the copy
			metrics.Add("bodiesRefused", 1)
			return nil, ErrNoMemory
		}
		read = append(make([]byte, 0, room), read...)
		n, err := io.ReadFull(body, read[len(read):room])
		read = read[:len(read)+n]
		if err == io.EOF && n == 0 || err == io.ErrUnexpectedEOF && length < 0 {
			return read, nil // less than the room
		}
		if err != nil || length >= 0 {
			return read, err
		}
		room = 2 * int64(len(read))
	}
}

// firstAnswerBytes is the first part of an answer, for which there is always memory.
const firstAnswerBytes = 1 << 10

// ReadAnswer reads the body of an answer to a request up to limit, or less if the account of ctx has no memory for more. It
// returns whole if it has read the end.
func ReadAnswer(ctx context.Context, body io.Reader, limit int) (read []byte, whole bool, err error) {
	account := Of(ctx)
	for {
		if len(read) == cap(read) {
			room := min(limit, max(firstAnswerBytes, 2*len(read)))
			if len(read) >= limit || !account.TakeAnswer(int64(room)) && len(read) > 0 {
				return read, false, nil
			}
			read = append(make([]byte, 0, room), read...)
		}
		n, err := body.Read(read[len(read):cap(read)])
		read = read[:len(read)+n]
		if err == io.EOF {
			return read, true, nil
		}
		if err != nil {
			return read, false, err
		}
	}
}
