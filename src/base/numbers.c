/* Whole numbers in the headers of other programs.  */

#include "base/numbers.h"

#include <string.h>

enum
{
  MAX_COUNT = 4
};

static const char blanks[] = " \t";

/* Reads a number and the blanks around it, and advances *text.  */
static bool
read_number (const char **text, uint32_t max, uint32_t *out)
{
  const char *digit = *text + strspn (*text, blanks);
  uint64_t value = 0;

  if (*digit < '0' || *digit > '9')
    return false;
  for (; *digit >= '0' && *digit <= '9'; digit++)
    {
      value = value * 10 + (uint64_t)(*digit - '0');
      if (value > max)
        return false;
    }
  *text = digit + strspn (digit, blanks);
  *out = (uint32_t)value;
  return true;
}

bool
bd_numbers_read (const char *text, uint32_t max, uint32_t *out, uint32_t count)
{
  uint32_t numbers[MAX_COUNT];

  if (text == NULL || count > MAX_COUNT)
    return false;
  for (uint32_t i = 0; i < count; i++)
    {
      if (!read_number (&text, max, &numbers[i])
          || (*text != ',' && (*text != '\0' || i + 1 < count)))
        return false;
      text += *text == ',';
    }
  memcpy (out, numbers, count * sizeof *out);
  return true;
}
