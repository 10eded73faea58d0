/* Renders metric counters in the Prometheus text exposition format.  */

#include "base/counters.h"

#include "base/crash.h"

#include <talloc.h>

struct counter_info
{
  const char *name;
  const char *help;
};

static const struct counter_info infos[BD_COUNTER_COUNT] = {
#define COUNTER_INFO(name, exported, help) { exported, help },
  BD_COUNTER_LIST (COUNTER_INFO)
#undef COUNTER_INFO
};

void
bd_count (struct bd_counters *counters, enum bd_counter counter)
{
  bd_count_add (counters, counter, 1);
}

void
bd_count_add (struct bd_counters *counters, enum bd_counter counter,
              uint64_t n)
{
  BD_ASSERT (counter < BD_COUNTER_COUNT);
  counters->value[counter] += n;
}

char *
bd_counters_render (const struct bd_counters *counters, void *ctx)
{
  char *text = talloc_strdup (ctx, "");

  for (uint32_t i = 0; i < BD_COUNTER_COUNT && text != NULL; i++)
    text = talloc_asprintf_append_buffer (
        text,
        "# HELP burdockdale_%s %s\n# TYPE burdockdale_%s counter\n"
        "burdockdale_%s %llu\n",
        infos[i].name, infos[i].help, infos[i].name, infos[i].name,
        (unsigned long long)counters->value[i]);
  return text;
}
