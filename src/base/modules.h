/* The program and its shared libraries, and where they are loaded.

   bd_modules_read() reads the table; the others only look it up, without
   allocating, and may be called by a signal handler.  */

#ifndef BD_BASE_MODULES_H
#define BD_BASE_MODULES_H

#include <stdint.h>

enum
{
  BD_MODULES_MAX = 96,
  BD_MODULE_NAME_SIZE = 40,
  BD_BUILD_ID_SIZE = 41 /* 20 bytes in hexadecimal digits.  */
};

struct bd_module
{
  char name[BD_MODULE_NAME_SIZE];  /* Without its directory.  */
  char build_id[BD_BUILD_ID_SIZE]; /* Empty if it has none.  */
  uintptr_t base;                  /* What its offsets are relative to.  */
  uintptr_t start;                 /* Of its segments in memory.  */
  uintptr_t end;
};

struct bd_modules
{
  struct bd_module modules[BD_MODULES_MAX]; /* The first is the program.  */
  uint32_t count;
};

/* bd_modules_read(): reads the modules that are loaded now.  Those beyond
   BD_MODULES_MAX are left out.  */
void bd_modules_read (struct bd_modules *modules);

/* bd_modules_find(): the module that contains an address, or NULL.  */
const struct bd_module *bd_modules_find (const struct bd_modules *modules,
                                         uintptr_t address);

#endif
