/* Properties: each sound head is read whole, with its fields; a head in which
   one byte takes the place of another where RFC 9112 forbids it, or stands
   between two, is malformed.  */

extern "C"
{
#include "http/response_head.h"
}

#include <cstdio>
#include <cstring>
#include <rapidcheck.h>
#include <string>
#include <utility>
#include <vector>

namespace
{

/* Largest number of fields, of words in a value, and of bytes in a name or a
   word.  */
const int MAX_PART = 5;

const std::string token_characters
    = "!#$%&'*+-.^_`|~0123456789abcdefghijklmnopqrstuvwxyz"
      "ABCDEFGHIJKLMNOPQRSTUVWXYZ";

using Field = std::pair<std::string, std::string>;

struct Head
{
  unsigned status;
  std::string reason;
  std::vector<Field> fields;
  unsigned framing; /* 0: none, 1: a length, 2: chunked.  */
  unsigned length;
};

void
showValue (const Head &h, std::ostream &os)
{
  os << h.status << " " << h.reason << " framing " << h.framing;
  for (const auto &field : h.fields)
    os << " [" << field.first << "]=[" << field.second << "]";
}

/* A byte that is visible or above 0x7f.  */
rc::Gen<char>
genVisible ()
{
  return rc::gen::map (rc::gen::inRange (0, 0x5e + 0x80), [] (int n) {
    return static_cast<char> (n < 0x5e ? 0x21 + n : 0x80 + (n - 0x5e));
  });
}

/* A byte that the grammar forbids in some place: a control byte, one above
   0x7f, a blank or a separator.  */
rc::Gen<char>
genOddByte ()
{
  return rc::gen::oneOf (
      rc::gen::map (rc::gen::inRange (0, 0x20),
                    [] (int n) { return static_cast<char> (n); }),
      rc::gen::map (rc::gen::inRange (0x7f, 0x100),
                    [] (int n) { return static_cast<char> (n); }),
      rc::gen::element (' ', '(', ')', ',', '/', ';', '<', '=', '>', '?', '@',
                        '[', '\\', ']', '{', '}', '"'));
}

/* Text without blanks at its ends.  */
rc::Gen<std::string>
genText ()
{
  return rc::gen::map (rc::gen::container<std::vector<std::string> > (
                           rc::gen::container<std::string> (genVisible ())),
                       [] (const std::vector<std::string> &words) {
                         std::string text;
                         for (const auto &word : words)
                           if (!word.empty ())
                             text += (text.empty () ? "" : " \t") + word;
                         return text;
                       });
}

rc::Gen<char>
genTokenCharacter ()
{
  return rc::gen::map (rc::gen::inRange<size_t> (0, token_characters.size ()),
                       [] (size_t n) { return token_characters[n]; });
}

rc::Gen<std::string>
genName ()
{
  return rc::gen::map (rc::gen::nonEmpty (rc::gen::container<std::string> (
                           genTokenCharacter ())),
                       [] (const std::string &name) { return "X" + name; });
}

rc::Gen<Head>
genHead ()
{
  return rc::gen::build<Head> (
      rc::gen::set (&Head::status, rc::gen::inRange (200u, 600u)),
      rc::gen::set (&Head::reason, genText ()),
      rc::gen::set (&Head::fields,
                    rc::gen::container<std::vector<Field> > (
                        rc::gen::pair (genName (), genText ()))),
      rc::gen::set (&Head::framing, rc::gen::inRange (0u, 3u)),
      rc::gen::set (&Head::length, rc::gen::inRange (0u, 100000u)));
}

/* The lines of a head; the framing comes first among the fields.  */
std::vector<std::string>
lines_of (const Head &h)
{
  std::vector<std::string> lines
      = { "HTTP/1.1 " + std::to_string (h.status) + " " + h.reason };

  if (h.framing == 1)
    lines.push_back ("Content-Length: " + std::to_string (h.length));
  if (h.framing == 2)
    lines.push_back ("Transfer-Encoding: chunked");
  for (const auto &field : h.fields)
    lines.push_back (field.first + ":" + field.second);
  return lines;
}

struct Result
{
  bd_response_head head;
  std::vector<Field> fields;
};

Result
read (const std::vector<std::string> &lines)
{
  Result result = { {}, {} };
  bd_response_field field = {};

  for (const auto &line : lines)
    {
      std::string text = line + "\r\n";
      if (bd_response_head_read (&result.head, text.data (), text.size (),
                                 &field)
          == BD_RESPONSE_FIELD)
        result.fields.emplace_back (
            std::string (field.name, field.name_bytes),
            std::string (field.value, field.value_bytes));
    }
  if (result.head.malformed == nullptr)
    bd_response_head_read (&result.head, "\r\n", 2, &field);
  return result;
}

bool
is_control (unsigned char c)
{
  return (c < ' ' && c != '\t') || c == 0x7f;
}

/* Whether the byte may stand at a position of a line of lines_of(), which has
   its text in front of it unchanged.  */
bool
may_stand (const std::string &line, size_t position, bool is_status, char c)
{
  unsigned char byte = static_cast<unsigned char> (c);
  size_t colon = line.find (':');

  if (is_control (byte))
    return false;
  if (is_status)
    return position > strlen ("HTTP/1.1 200")
           || (position == strlen ("HTTP/1.1 200") && c == ' ');
  if (position <= colon)
    return c == ':' || token_characters.find (c) != std::string::npos;
  return true;
}

/* Whether a byte in place of another one makes the field that determines the
   length of the body malformed.  A blank at an end of the value is no part of
   it, and a comma can make a list of the same lengths.  */
bool
is_spoilt (const Head &h, char before, char byte)
{
  if (byte == ' ' || byte == '\t' || byte == ',')
    return false;
  if (h.framing == 1)
    return byte < '0' || byte > '9';
  return (byte | 0x20) != (before | 0x20);
}

} // namespace

int
main ()
{
  bool is_right = true;

  is_right &= rc::check ("sound heads are read", [] {
    const auto h = *genHead ();
    const auto result = read (lines_of (h));
    auto fields = result.fields;

    RC_ASSERT (result.head.malformed == nullptr);
    RC_ASSERT (result.head.is_whole);
    RC_ASSERT (result.head.status == h.status);
    RC_ASSERT (result.head.has_length == (h.framing == 1));
    RC_ASSERT (result.head.is_chunked == (h.framing == 2));
    if (h.framing == 1)
      RC_ASSERT (result.head.length == h.length);
    if (h.framing != 0)
      fields.erase (fields.begin ());
    RC_ASSERT (fields == h.fields);
  });

  is_right &= rc::check ("a forbidden byte in a line", [] {
    const auto h = *genHead ();
    auto lines = lines_of (h);
    const auto number = *rc::gen::inRange<size_t> (0, lines.size ());
    auto &line = lines[number];
    const auto position = *rc::gen::inRange<size_t> (0, line.size ());
    const auto byte = *genOddByte ();

    RC_PRE (!may_stand (line, position, number == 0, byte));
    RC_PRE (line[position] != byte);
    line.insert (position, 1, byte);
    RC_ASSERT (read (lines).head.malformed != nullptr);
  });

  is_right &= rc::check ("another byte in a length or an encoding", [] {
    auto h = *genHead ();
    const auto byte = static_cast<char> (*rc::gen::inRange (0, 256));
    std::vector<std::string> lines;
    size_t position;

    h.framing = *rc::gen::inRange (1u, 3u);
    lines = lines_of (h);
    position = *rc::gen::inRange<size_t> (lines[1].find (':') + 2,
                                          lines[1].size ());
    RC_PRE (is_spoilt (h, lines[1][position], byte));
    lines[1][position] = byte;
    RC_ASSERT (read (lines).head.malformed != nullptr);
  });

  is_right &= rc::check ("another length", [] {
    auto h = *genHead ();
    const auto other = *rc::gen::inRange (0u, 100000u);
    std::vector<std::string> lines;

    RC_PRE (other != h.length);
    h.framing = 1;
    lines = lines_of (h);
    lines.insert (
        lines.begin ()
            + *rc::gen::inRange<long> (1, static_cast<long> (lines.size ())),
        "content-length:" + std::to_string (other));
    RC_ASSERT (read (lines).head.malformed != nullptr);
  });

  is_right &= rc::check ("a blank before a line, or a line without colon", [] {
    auto lines = lines_of (*genHead ());
    const auto number = *rc::gen::inRange<size_t> (0, lines.size ());
    auto &line = lines[number];

    if (number == 0 || *rc::gen::arbitrary<bool> ())
      line.insert (0, 1, *rc::gen::element (' ', '\t'));
    else
      line.erase (line.find (':'));
    RC_ASSERT (read (lines).head.malformed != nullptr);
  });
  return is_right ? 0 : 1;
}
