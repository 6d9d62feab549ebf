package intent

import "strings"

// maxLCSCells limits the table of lcsLengths to 4 Mi cells (16 MiB). Without a table, as for larger texts, Diff may show
// most lines after the first difference as removed and added.
const maxLCSCells = 4 << 20

// Diff returns the lines that differ between two texts, or "" if the texts are equal. Lines that are only in oldText are
// prefixed with "-" and lines that are only in newText with "+". Of the common lines it shows only the last TOML section
// header before a difference.
func Diff(oldText, newText string) string {
	if oldText == newText {
		return ""
	}
	a, b := splitLines(oldText), splitLines(newText)
	var out strings.Builder
	lcs := lcsLengths(a, b)
	section := ""
	emit := func(sign, line string) {
		if section != "" {
			out.WriteString("  " + section + "\n")
			section = ""
		}
		out.WriteString(sign + " " + line + "\n")
	}
	i, j := 0, 0
	for i < len(a) || j < len(b) {
		switch {
		case i < len(a) && j < len(b) && a[i] == b[j]:
			section = nextSection(section, a[i])
			i, j = i+1, j+1
		case j == len(b) || i < len(a) && lcs != nil && lcs[i+1][j] >= lcs[i][j+1]:
			emit("-", a[i])
			i++
		case lcs == nil && i < len(a):
			emit("-", a[i])
			i++
		default:
			emit("+", b[j])
			j++
		}
	}
	return out.String()
}

// nextSection returns line if it is a TOML section header, otherwise section.
func nextSection(section, line string) string {
	if strings.HasPrefix(strings.TrimSpace(line), "[") {
		return line
	}
	return section
}

func splitLines(text string) []string {
	if text == "" {
		return nil
	}
	return strings.Split(strings.TrimSuffix(text, "\n"), "\n")
}

// lcsLengths returns a table whose cell [i][j] is the length of the longest common subsequence of a[i:] and b[j:]. It
// returns nil if the table would have more than maxLCSCells cells.
func lcsLengths(a, b []string) [][]int32 {
	if (len(a)+1)*(len(b)+1) > maxLCSCells {
		return nil
	}
	table := make([][]int32, len(a)+1)
	for i := range table {
		table[i] = make([]int32, len(b)+1)
	}
	for i := len(a) - 1; i >= 0; i-- {
		for j := len(b) - 1; j >= 0; j-- {
			table[i][j] = max(table[i+1][j], table[i][j+1])
			if a[i] == b[j] {
				table[i][j] = table[i+1][j+1] + 1
			}
		}
	}
	return table
}
