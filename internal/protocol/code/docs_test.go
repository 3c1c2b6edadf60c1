package code_test

import (
	"os"
	"strconv"
	"strings"
	"testing"

	"mangopier.example/mangopier/internal/protocol/code"
)

const errorsPage = "../../../docs/ERRORS.md"

// TestErrorsPageMatchesEntries compares the table of the page with the codes,
// row by row and in order.
func TestErrorsPageMatchesEntries(t *testing.T) {
	page, err := os.ReadFile(errorsPage)
	if err != nil {
		t.Fatal(err)
	}
	rows, entries := tableRows(string(page)), code.Entries()
	for i, entry := range entries {
		if i >= len(rows) {
			t.Fatalf("the page lacks code %v", entry.Code)
		}
		want := []string{
			strconv.Itoa(int(entry.Code)), entry.Name, strconv.Itoa(entry.Status),
			entry.Run.String(), retryCell(entry.Retry), entry.Text,
		}
		for column, cell := range want {
			if got := rows[i][column]; got != cell {
				t.Errorf("code %v, column %d: the page has %q, the code %q", entry.Code, column+1, got, cell)
			}
		}
		if rows[i][len(want)] == "" {
			t.Errorf("code %v: the page does not say what to do", entry.Code)
		}
	}
	if len(rows) > len(entries) {
		t.Errorf("the page has codes that do not exist, first %q", rows[len(entries)])
	}
}

func retryCell(seconds int) string {
	if seconds == 0 {
		return "-"
	}
	return strconv.Itoa(seconds) + " s"
}

// tableRows returns the cells of each table row that begins with a number.
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
