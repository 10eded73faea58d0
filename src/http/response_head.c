/* Checks the heads of responses.  */

#include "http/response_head.h"

#include <string.h>
#include <strings.h>

enum
{
  STATUS_DIGITS = 3,
  MIN_STATUS = 100,
  MAX_STATUS = 599,
  MIN_FINAL_STATUS = 200,
  SWITCHING_PROTOCOLS = 101,
  DECIMAL = 10
};

struct slice
{
  const char *text;
  size_t size;
};

static bool
is_blank (char c)
{
  return c == ' ' || c == '\t';
}

static bool
is_digit (char c)
{
  return c >= '0' && c <= '9';
}

/* A character of a token (RFC 9110, 5.6.2).  */
static bool
is_token_character (char c)
{
  return is_digit (c) || (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z')
         || (c != '\0' && strchr ("!#$%&'*+-.^_`|~", c) != NULL);
}

static bool
is_text (struct slice slice)
{
  for (size_t i = 0; i < slice.size; i++)
    {
      unsigned char c = (unsigned char)slice.text[i];

      if ((c < ' ' && c != '\t') || c == 0x7f)
        return false;
    }
  return true;
}

static struct slice
trim (struct slice slice)
{
  while (slice.size > 0 && is_blank (slice.text[0]))
    {
      slice.text++;
      slice.size--;
    }
  while (slice.size > 0 && is_blank (slice.text[slice.size - 1]))
    slice.size--;
  return slice;
}

static bool
is_equal (struct slice slice, const char *text)
{
  return slice.size == strlen (text)
         && strncasecmp (slice.text, text, slice.size) == 0;
}

/* Takes the end off a line.  Returns false if it has none.  */
static bool
strip_end (struct slice *line)
{
  if (line->size == 0 || line->text[line->size - 1] != '\n')
    return false;
  line->size--;
  if (line->size > 0 && line->text[line->size - 1] == '\r')
    line->size--;
  return true;
}

static bool
begins_with (struct slice line, const char *text)
{
  return line.size >= strlen (text)
         && memcmp (line.text, text, strlen (text)) == 0;
}

/* Reads a status line into a head that has been cleared.  */
static bool
read_status_line (struct bd_response_head *head, struct slice line)
{
  static const size_t prefix_bytes = sizeof "HTTP/1.1 " - 1;
  const char *digits = line.text + prefix_bytes;
  uint32_t status = 0;

  head->is_old = begins_with (line, "HTTP/1.0 ");
  if (!head->is_old && !begins_with (line, "HTTP/1.1 "))
    return false;
  if (line.size < prefix_bytes + STATUS_DIGITS)
    return false;
  for (int i = 0; i < STATUS_DIGITS; i++)
    {
      if (!is_digit (digits[i]))
        return false;
      status = status * DECIMAL + (uint32_t)(digits[i] - '0');
    }
  /* Many servers leave out the blank before an empty reason.  */
  if (line.size > prefix_bytes + STATUS_DIGITS && digits[STATUS_DIGITS] != ' ')
    return false;
  if (status < MIN_STATUS || status > MAX_STATUS
      || status == SWITCHING_PROTOCOLS || !is_text (line))
    return false;
  head->status = status;
  return true;
}

/* Reads digits only.  Returns false if they exceed 63 bits.  */
static bool
read_number (struct slice digits, uint64_t *number)
{
  *number = 0;
  for (size_t i = 0; i < digits.size; i++)
    {
      uint64_t digit = (uint64_t)(digits.text[i] - '0');

      if (!is_digit (digits.text[i])
          || *number > (INT64_MAX - digit) / DECIMAL)
        return false;
      *number = *number * DECIMAL + digit;
    }
  return digits.size > 0;
}

/* Reads a length, or a list of lengths that are the same.  */
static bool
read_length (struct bd_response_head *head, struct slice value)
{
  for (;;)
    {
      const char *comma = memchr (value.text, ',', value.size);
      size_t size = comma != NULL ? (size_t)(comma - value.text) : value.size;
      uint64_t length;

      if (!read_number (trim ((struct slice){ value.text, size }), &length)
          || (head->has_length && head->length != length))
        return false;
      head->has_length = true;
      head->length = length;
      if (comma == NULL)
        return true;
      value.text += size + 1;
      value.size -= size + 1;
    }
}

/* Reads the fields that determine the length of the body.  Returns what is
   malformed, or NULL.  */
static const char *
read_framing (struct bd_response_head *head, struct slice name,
              struct slice value)
{
  bool is_interim = head->status < MIN_FINAL_STATUS;

  if (is_equal (name, "Content-Length"))
    {
      if (is_interim || !read_length (head, value))
        return "length";
    }
  else if (is_equal (name, "Transfer-Encoding"))
    {
      if (is_interim || head->is_old || head->is_chunked
          || !is_equal (value, "chunked"))
        return "encoding";
      head->is_chunked = true;
    }
  return head->has_length && head->is_chunked ? "encoding" : NULL;
}

/* Returns what is malformed, or NULL.  */
static const char *
read_field (struct bd_response_head *head, struct slice line,
            struct bd_response_field *field)
{
  struct slice name = { line.text, 0 };
  struct slice value;

  if (is_blank (line.text[0]))
    return "folded-line";
  while (name.size < line.size && is_token_character (line.text[name.size]))
    name.size++;
  if (name.size == 0 || name.size == line.size || line.text[name.size] != ':')
    return "field-name";
  value = trim (
      (struct slice){ line.text + name.size + 1, line.size - name.size - 1 });
  if (!is_text (value))
    return "field-value";
  *field = (struct bd_response_field){ name.text, name.size, value.text,
                                       value.size };
  return head->is_whole ? NULL : read_framing (head, name, value);
}

static enum bd_response_line
read_line (struct bd_response_head *head, struct slice line,
           struct bd_response_field *field)
{
  if (!head->is_whole && head->status == 0)
    {
      if (!read_status_line (head, line))
        head->malformed = "status-line";
      return BD_RESPONSE_STATUS;
    }
  if (line.size > 0)
    {
      head->malformed = read_field (head, line, field);
      return BD_RESPONSE_FIELD;
    }
  if (head->status >= MIN_FINAL_STATUS)
    head->is_whole = true;
  else
    *head = (struct bd_response_head){ 0 };
  return BD_RESPONSE_HEAD_END;
}

enum bd_response_line
bd_response_head_read (struct bd_response_head *head, const char *line,
                       size_t size, struct bd_response_field *field)
{
  struct slice slice = { line, size };
  enum bd_response_line kind = BD_RESPONSE_MALFORMED;

  if (head->malformed != NULL)
    return BD_RESPONSE_MALFORMED;
  if (strip_end (&slice))
    kind = read_line (head, slice, field);
  else
    head->malformed = head->status == 0 ? "status-line" : "field-name";
  return head->malformed != NULL ? BD_RESPONSE_MALFORMED : kind;
}
