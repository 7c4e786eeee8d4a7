package usersplatform

import (
	"net/http"
	"strconv"
	"strings"
)

// paddingHeader is the header with which a caller tells the stand-in how many bytes to add to each event of its stream.
const paddingHeader = "X-Standin-Padding"

// padding returns the text that is added to each event.
func padding(h http.Header) string {
	n, err := strconv.Atoi(h.Get(paddingHeader))
	if err != nil || n <= 0 {
		return ""
	}
	return strings.Repeat(".", n)
}
