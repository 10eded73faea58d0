/* Whole numbers in the headers of other programs.  */

#ifndef BD_BASE_NUMBERS_H
#define BD_BASE_NUMBERS_H

#include <stdbool.h>
#include <stdint.h>

/* bd_numbers_read(): reads the first count numbers of a list like "3, 0,8".
   Numbers have digits only, and blanks may stand around them; what follows
   the list after another comma is ignored.  Returns false, and leaves out
   unchanged, if text is NULL, one of them is missing, is no such number, or
   is above max.  */
bool bd_numbers_read (const char *text, uint32_t max, uint32_t *out,
                      uint32_t count);

#endif
