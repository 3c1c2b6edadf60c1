package code_test

import (
	"os"
	"strconv"
	"strings"
	"testing"

	"mangopier.example/mangopier/internal/protocol/code"
)

const errorsPage = "../../../docs/ERRORS.md"

// TestErrorsPageMatchesDefinitions compares the table in docs/ERRORS.md with the
// definitions, row by row and in order.
func TestErrorsPageMatchesDefinitions(t *testing.T) {
	page, err := os.ReadFile(errorsPage)
	if err != nil {
		t.Fatal(err)
	}
	rows, definitions := tableRows(string(page)), code.Definitions()
	for i, definition := range definitions {
		if i >= len(rows) {
			t.Fatalf("%s has no row for code %v", errorsPage, definition.Code)
		}
		want := []string{
			strconv.Itoa(int(definition.Code)), definition.Name, strconv.Itoa(definition.Status),
			definition.RunStatus.String(), retryCell(definition.RetryAfterSeconds), definition.Description,
		}
		for column, wantCell := range want {
			if got := rows[i][column]; got != wantCell {
				t.Errorf("code %v, column %d = %q, want %q", definition.Code, column+1, got, wantCell)
			}
		}
		if rows[i][len(want)] == "" {
			t.Errorf("code %v: last column, what to do, is empty", definition.Code)
		}
	}
	if len(rows) > len(definitions) {
		t.Errorf("page has %d rows, want %d; first extra row: %q", len(rows), len(definitions), rows[len(definitions)])
	}
}

func retryCell(seconds int) string {
	if seconds == 0 {
		return "-"
	}
	return strconv.Itoa(seconds) + " s"
}

// tableRows returns the cells of each table row of the page that starts with a
// number.
func tableRows(page string) [][]string {
	const cellCount = 7
	var rows [][]string
	for line := range strings.Lines(page) {
		cells := strings.Split(strings.Trim(strings.TrimSpace(line), "|"), "|")
		for i := range cells {
			cells[i] = strings.TrimSpace(cells[i])
		}
		if _, err := strconv.Atoi(cells[0]); err == nil && len(cells) == cellCount {
			rows = append(rows, cells)
		}
	}
	return rows
}
