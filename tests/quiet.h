/* Suppresses log output in test programs.

   Call unit_silence_log() once, before the code under test logs.  */

#ifndef BD_TESTS_QUIET_H
#define BD_TESTS_QUIET_H

#include <glib.h>

static inline GLogWriterOutput
unit_drop_line (GLogLevelFlags level, const GLogField *fields, gsize count,
                gpointer ctx)
{
  (void)level;
  (void)fields;
  (void)count;
  (void)ctx;
  return G_LOG_WRITER_HANDLED;
}

/* unit_silence_log(): drops every GLib log record of this process.  */
static inline void
unit_silence_log (void)
{
  g_log_set_writer_func (unit_drop_line, NULL, NULL);
}

#endif
