package completions

import (
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// maxParts is the maximum number of parts of a prompt.
const maxParts = 32

// Parts returns the parts of the prompt in order, as hashes in hex: the contents of a
// chat's messages, or the paragraphs of a completion's prompt, which blank lines
// separate. The last part is the request's own. Of more than maxParts parts, the first
// ones and the last are returned. It returns nil for an invalid prompt.
func (r Request) Parts() []string {
	texts := r.partTexts()
	if len(texts) > maxParts {
		texts = append(texts[:maxParts-1:maxParts-1], texts[len(texts)-1])
	}
	var parts []string
	for _, text := range texts {
		parts = append(parts, strconv.FormatUint(xxhash.Sum64String(text), 16))
	}
	return parts
}

// SharedParts returns the parts that other requests may have too: all but the last. It returns nil
// for a prompt of one part.
func (r Request) SharedParts() []string {
	parts := r.Parts()
	if len(parts) < 2 {
		return nil
	}
	return parts[:len(parts)-1]
}

func (r Request) partTexts() []string {
	if len(r.Messages) > 0 {
		var texts []string
		for _, m := range r.Messages {
			texts = append(texts, m.Content)
		}
		return texts
	}
	prompt, err := r.Text()
	if err != nil {
		return nil
	}
	return strings.Split(prompt, "\n\n")
}
