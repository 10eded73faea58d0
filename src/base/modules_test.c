/* Guards against return addresses of libraries that cannot be resolved.  */

#include "base/modules.h"

#include "tests/unit.h"

#include <dlfcn.h>
#include <stdlib.h>
#include <string.h>

static struct bd_modules modules;

static void
test_program_is_first (void)
{
  bd_modules_read (&modules);
  CU_ASSERT_PTR_EQUAL (
      bd_modules_find (&modules, (uintptr_t)test_program_is_first),
      &modules.modules[0]);
  CU_ASSERT_STRING_EQUAL (modules.modules[0].name, "modules_test");
  CU_ASSERT_EQUAL (strlen (modules.modules[0].build_id), BD_BUILD_ID_SIZE - 1);
  CU_ASSERT_EQUAL (strspn (modules.modules[0].build_id, "0123456789abcdef"),
                   BD_BUILD_ID_SIZE - 1);
}

/* The offsets are those of the dynamic linker.  */
static void
test_library_is_found (void)
{
  void *function = dlsym (RTLD_DEFAULT, "malloc_usable_size");
  const struct bd_module *module;
  Dl_info info;

  bd_modules_read (&modules);
  module = bd_modules_find (&modules, (uintptr_t)function);
  CU_ASSERT_PTR_NOT_NULL_FATAL (module);
  CU_ASSERT_NOT_EQUAL_FATAL (dladdr (function, &info), 0);
  CU_ASSERT_EQUAL (module->base, (uintptr_t)info.dli_fbase);
  CU_ASSERT_EQUAL (strlen (module->build_id), BD_BUILD_ID_SIZE - 1);
}

static void
test_other_addresses_are_in_none (void)
{
  char *block = malloc (1);

  bd_modules_read (&modules);
  CU_ASSERT_PTR_NULL (bd_modules_find (&modules, (uintptr_t)block));
  CU_ASSERT_PTR_NULL (bd_modules_find (&modules, 0));
  CU_ASSERT_PTR_NULL (bd_modules_find (&modules, UINTPTR_MAX));
  free (block);
}

int
main (void)
{
  static const struct unit_test tests[] = {
    { "the program is first", test_program_is_first },
    { "a library is found", test_library_is_found },
    { "other addresses are in none", test_other_addresses_are_in_none },
  };

  return UNIT_RUN ("modules", tests);
}
