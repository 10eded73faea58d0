/* The status that operators read: verdicts on published files, and which
   revision is in force where.  Written by the config keeper when it changes.
 */

#include "daemon/daemon_internal.h"

enum
{
  GIVE_UP_MS = 5000
};

static json_t *
list_daemons (const struct bd_daemon *daemon)
{
  json_t *list = json_array ();

  for (uint32_t i = 0; i < daemon->membership.count; i++)
    {
      const struct bd_member *member = &daemon->membership.members[i];
      if (member->is_live || i == 0)
        json_array_append_new (
            list, json_pack ("{s:s,s:s,s:I}", "name", member->name,
                             "data_centre", member->data_centre, "revision",
                             (json_int_t)(i == 0 ? daemon->config.revision
                                                 : member->config_revision)));
    }
  return list;
}

static json_t *
list_centres (const struct bd_daemon *daemon)
{
  json_t *list = json_array ();

  json_array_append_new (
      list, json_pack ("{s:s,s:i,s:I}", "name", daemon->settings->data_centre,
                       "live",
                       (int)bd_membership_live (&daemon->membership,
                                                daemon->settings->data_centre),
                       "lowest_revision",
                       (json_int_t)bd_daemon_lowest_revision (daemon)));
  for (uint32_t i = 0; i < daemon->membership.centre_count; i++)
    {
      const struct bd_centre *centre = &daemon->membership.centres[i];
      json_array_append_new (
          list, json_pack ("{s:s,s:i,s:I}", "name", centre->name, "live",
                           (int)centre->live, "lowest_revision",
                           (json_int_t)centre->lowest_revision));
    }
  return list;
}

static json_t *
make_status (const struct bd_daemon *daemon)
{
  return json_pack (
      "{s:I,s:s,s:O,s:o,s:o}", "revision", (json_int_t)daemon->config.revision,
      "keeper", daemon->settings->name, "verdicts", daemon->published_verdicts,
      "daemons", list_daemons (daemon), "centres", list_centres (daemon));
}

static void
handle_status_read (void *ctx, const struct bd_platform_reply *answer)
{
  struct bd_daemon *daemon = ctx;

  daemon->is_writing_status = false;
  if (answer->error != BD_OK && answer->error != BD_ERR_NOT_FOUND)
    return;
  daemon->is_status_known = true;
  daemon->status_version
      = answer->error == BD_OK ? answer->version : BD_VERSION_NONE;
  json_decref (daemon->status_envelope);
  daemon->status_envelope = json_incref (answer->envelope);
}

static void
handle_status_written (void *ctx, const struct bd_platform_reply *answer)
{
  struct bd_daemon *daemon = ctx;

  daemon->is_writing_status = false;
  if (answer->error != BD_OK)
    {
      /* Another keeper wrote, or nobody knows: look first.  */
      daemon->is_status_known = false;
      json_decref (daemon->status_written);
      daemon->status_written = NULL;
      return;
    }
  daemon->status_version = answer->version;
  json_decref (daemon->status_envelope);
  daemon->status_envelope = json_incref (answer->envelope);
}

void
bd_daemon_write_status (struct bd_daemon *daemon)
{
  json_t *status;

  if (daemon->is_writing_status || daemon->published_verdicts == NULL)
    return;
  if (!daemon->is_status_known)
    {
      daemon->is_writing_status = true;
      bd_platform_read (&daemon->platform, BD_PRIORITY_STATUS, BD_KEY_STATUS,
                        GIVE_UP_MS, handle_status_read, daemon);
      return;
    }
  status = make_status (daemon);
  if (json_equal (status, daemon->status_written))
    {
      json_decref (status);
      return;
    }
  json_decref (daemon->status_written);
  daemon->status_written = json_incref (status);
  daemon->is_writing_status = true;
  bd_platform_update (&daemon->platform, BD_PRIORITY_STATUS, BD_KEY_STATUS,
                      daemon->status_version, daemon->status_envelope, status,
                      GIVE_UP_MS, handle_status_written, daemon);
}
