package rawreply

import (
	"strconv"
	"strings"
)

// Head is the form of the head of a reply.
type Head struct {
	StatusLine string // "HTTP/1.1 200 OK" if empty
	// Lines are added before the fields. Each ends with a line break.
	Lines string
	// WithoutLength omits the length of the body.
	WithoutLength bool
}

// Text returns a reply with more fields, each of which ends with a line break, and a body.
func (h Head) Text(fields, body string) string {
	var b strings.Builder
	b.WriteString(h.StatusLine)
	if h.StatusLine == "" {
		b.WriteString("HTTP/1.1 200 OK")
	}
	b.WriteString("\r\n" + h.Lines + fields)
	if !h.WithoutLength {
		b.WriteString("Content-Length: " + strconv.Itoa(len(body)) + "\r\n")
	}
	b.WriteString("\r\n" + body)
	return b.String()
}

// Broken are heads of replies that no reader may take for an answer, by what is wrong.
var Broken = map[string]Head{
	"status 000":               {StatusLine: "HTTP/1.1 000 Trouble"},
	"status 000 alone":         {StatusLine: "HTTP/1.1 000"},
	"status below 100":         {StatusLine: "HTTP/1.1 099 Trouble"},
	"status above 599":         {StatusLine: "HTTP/1.1 600 Trouble"},
	"status 999":               {StatusLine: "HTTP/1.1 999 Trouble"},
	"status of two digits":     {StatusLine: "HTTP/1.1 20 OK"},
	"status of four digits":    {StatusLine: "HTTP/1.1 2000 OK"},
	"status with a sign":       {StatusLine: "HTTP/1.1 +20 OK"},
	"status with a letter":     {StatusLine: "HTTP/1.1 2o0 OK"},
	"no status":                {StatusLine: "HTTP/1.1  OK"},
	"two blanks before status": {StatusLine: "HTTP/1.1  200 OK"},
	"control in the reason":    {StatusLine: "HTTP/1.1 200 O\x01K"},
	"zero byte in the reason":  {StatusLine: "HTTP/1.1 200 \x00"},
	"another version":          {StatusLine: "HTTP/2.0 200 OK"},
	"no version":               {StatusLine: "HTTP/ 200 OK"},
	"another protocol":         {StatusLine: "ICY/1.1 200 OK"},
	"empty line before":        {StatusLine: "\r\nHTTP/1.1 200 OK"},
	"other protocol asked for": {StatusLine: "HTTP/1.1 101 Switching Protocols", Lines: "Upgrade: x\r\n"},

	"broken after an interim one": {StatusLine: "HTTP/1.1 102 Processing\r\n\r\nHTTP/1.1 000 Trouble"},
	"interim replies alone":       {StatusLine: strings.Repeat("HTTP/1.1 102 Processing\r\n\r\n", 9) + "HTTP/1.1 200 OK"},

	"blank in a name":               {Lines: "X Trouble: 1\r\n"},
	"blank before the colon":        {Lines: "X-Trouble : 1\r\n"},
	"tab before the colon":          {Lines: "X-Trouble\t: 1\r\n"},
	"length with a blank":           {Lines: "Content-Length : 1\r\n", WithoutLength: true},
	"encoding with a blank":         {Lines: "Transfer-Encoding : chunked\r\n", WithoutLength: true},
	"control in a name":             {Lines: "X-\x01Trouble: 1\r\n"},
	"zero byte in a name":           {Lines: "X-Tr\x00uble: 1\r\n"},
	"delete in a name":              {Lines: "X-Trouble\x7f: 1\r\n"},
	"carriage return in a name":     {Lines: "X-\rTrouble: 1\r\n"},
	"separator in a name":           {Lines: "X-(Trouble): 1\r\n"},
	"byte beyond ASCII in a name":   {Lines: "X-Tr\xc3\xa4ger: 1\r\n"},
	"empty name":                    {Lines: ": 1\r\n"},
	"no colon":                      {Lines: "X-Trouble\r\n"},
	"first line folded":             {Lines: " X-Trouble: 1\r\n"},
	"blank in the name, folded":     {Lines: "X Trouble: a\r\n b\r\n"},
	"control in a value":            {Lines: "X-Trouble: \x01\r\n"},
	"zero byte in a value":          {Lines: "X-Trouble: a\x00b\r\n"},
	"carriage return in a value":    {Lines: "X-Trouble: a\rX-More: b\r\n"},
	"control in a folded line":      {Lines: "X-Trouble: a\r\n b\x02\r\n"},
	"last of several without colon": {Lines: "X-A: 1\r\nX-B: 2\r\nX-Trouble\r\n"},

	"letter in the length":     {Lines: "Content-Length: 1x0\r\n", WithoutLength: true},
	"length with a sign":       {Lines: "Content-Length: +4\r\n", WithoutLength: true},
	"negative length":          {Lines: "Content-Length: -4\r\n", WithoutLength: true},
	"empty length":             {Lines: "Content-Length:\r\n", WithoutLength: true},
	"two lengths":              {Lines: "Content-Length: 3\r\nContent-Length: 2\r\n", WithoutLength: true},
	"two lengths in one field": {Lines: "Content-Length: 3, 2\r\n", WithoutLength: true},
	"length beyond an integer": {Lines: "Content-Length: 99999999999999999999\r\n", WithoutLength: true},
	"unknown encoding":         {Lines: "Transfer-Encoding: gzip\r\n", WithoutLength: true},
	"several encodings":        {Lines: "Transfer-Encoding: gzip, chunked\r\n", WithoutLength: true},
}

// Sound are unusual heads that every reader takes, by what is unusual.
var Sound = map[string]Head{
	"no reason":                {StatusLine: "HTTP/1.1 200"},
	"empty reason":             {StatusLine: "HTTP/1.1 200 "},
	"text in the reason":       {StatusLine: "HTTP/1.1 200 Tr\xc3\xa4ger\tok"},
	"version 1.0":              {StatusLine: "HTTP/1.0 200 OK"},
	"all characters of a name": {Lines: "!#$%&'*+-.^_`|~09azAZ: 1\r\n"},
	"name of one character":    {Lines: "X: 1\r\n"},
	"empty value":              {Lines: "X-Empty:\r\n"},
	"blanks around a value":    {Lines: "X-Blank: \t a b \t \r\n"},
	"no blank before a value":  {Lines: "X-Close:1\r\n"},
	"colons in a value":        {Lines: "X-Colon: a:b: c\r\n"},
	"bytes beyond ASCII":       {Lines: "X-Text: Tr\xc3\xa4ger \xff\r\n"},
	"line feeds":               {StatusLine: "HTTP/1.1 200 OK\nX-First: 1\nX-Second: 2"},
	"long head":                {Lines: strings.Repeat("X-Long: "+strings.Repeat("v", 900)+"\r\n", 15)},
	"many fields":              {Lines: strings.Repeat("X-More: 1\r\n", 180)},
	"folded line":              {Lines: "X-Folded: a\r\n b\r\n\tc: d\r\n"},
	"folded line of blanks":    {Lines: "X-Folded: a\r\n  \r\nX-More: b\r\n"},
	"line feeds, folded":       {Lines: "X-Folded: a\n b\n c: d\n"},
	"interim reply before":     {StatusLine: "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK"},
	"processing":               {StatusLine: "HTTP/1.1 102 Processing\r\nX-Step: 1\r\n\r\nHTTP/1.1 200 OK"},
	"several interim replies":  {StatusLine: strings.Repeat("HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n", 4) + "HTTP/1.1 200 OK"},
	"interim, then no length":  {StatusLine: "HTTP/1.1 102 Processing\r\n\r\nHTTP/1.1 200 OK", WithoutLength: true},
	"end of the connection":    {Lines: "Connection: close\r\n", WithoutLength: true},
}
