package intent

import "strings"

// maxDiffCells bounds the table of the comparison. Larger texts are shown as a whole.
const maxDiffCells = 4 << 20

// Diff returns the lines that differ between two texts, with "-" before lines of the old text and "+" before
// lines of the new one, and "" when they are equal. Lines in common are left out but for section headers above a
// difference.
func Diff(old, new string) string {
	if old == new {
		return ""
	}
	a, b := lines(old), lines(new)
	var out strings.Builder
	common := commonLengths(a, b)
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
		case j == len(b) || i < len(a) && common != nil && common[i+1][j] >= common[i][j+1]:
			emit("-", a[i])
			i++
		case common == nil && i < len(a):
			emit("-", a[i])
			i++
		default:
			emit("+", b[j])
			j++
		}
	}
	return out.String()
}

func nextSection(section, line string) string {
	if strings.HasPrefix(strings.TrimSpace(line), "[") {
		return line
	}
	return section
}

func lines(text string) []string {
	if text == "" {
		return nil
	}
	return strings.Split(strings.TrimSuffix(text, "\n"), "\n")
}

// commonLengths returns the lengths of the longest common subsequences of all suffixes, or nil when the table
// would be too large.
func commonLengths(a, b []string) [][]int32 {
	if (len(a)+1)*(len(b)+1) > maxDiffCells {
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
