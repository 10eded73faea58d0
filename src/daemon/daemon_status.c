/* The status object for operators: the decisions on published files, and the
   revision in force on each daemon and in each data centre.  The config
   controller writes it when it changes.  */

#include "daemon/daemon_internal.h"

enum
{
  PLATFORM_TIMEOUT_MS = 5000
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
list_data_centres (const struct bd_daemon *daemon)
{
  json_t *list = json_array ();

  json_array_append_new (
      list, json_pack ("{s:s,s:i,s:I}", "name", daemon->settings->data_centre,
                       "live",
                       (int)bd_membership_count_live (
                           &daemon->membership, daemon->settings->data_centre),
                       "lowest_revision",
                       (json_int_t)bd_daemon_lowest_revision (daemon)));
  for (uint32_t i = 0; i < daemon->membership.remote_data_centre_count; i++)
    {
      const struct bd_remote_data_centre *data_centre
          = &daemon->membership.remote_data_centres[i];
      json_array_append_new (
          list, json_pack ("{s:s,s:i,s:I}", "name", data_centre->name, "live",
                           (int)data_centre->live, "lowest_revision",
                           (json_int_t)data_centre->lowest_revision));
    }
  return list;
}

static json_t *
make_status (const struct bd_daemon *daemon)
{
  return json_pack (
      "{s:I,s:s,s:O,s:o,s:o}", "revision", (json_int_t)daemon->config.revision,
      "keeper", daemon->settings->name, "verdicts",
      daemon->published_decisions, "daemons", list_daemons (daemon), "centres",
      list_data_centres (daemon));
}

static void
handle_status_read (void *ctx, const struct bd_store_reply *reply)
{
  struct bd_daemon *daemon = ctx;

  daemon->is_writing_status = false;
  if (reply->error != BD_OK && reply->error != BD_ERR_NOT_FOUND)
    return;
  daemon->is_status_known = true;
  daemon->status_version
      = reply->error == BD_OK ? reply->version : BD_VERSION_NONE;
  json_decref (daemon->status_envelope);
  daemon->status_envelope = json_incref (reply->envelope);
}

static void
handle_status_written (void *ctx, const struct bd_store_reply *reply)
{
  struct bd_daemon *daemon = ctx;

  daemon->is_writing_status = false;
  if (reply->error != BD_OK)
    {
      /* Another controller was first, or the result of the write is unknown:
         the status is read again before the next write.  */
      daemon->is_status_known = false;
      json_decref (daemon->status_written);
      daemon->status_written = NULL;
      return;
    }
  daemon->status_version = reply->version;
  json_decref (daemon->status_envelope);
  daemon->status_envelope = json_incref (reply->envelope);
}

void
bd_daemon_write_status (struct bd_daemon *daemon)
{
  json_t *status;

  if (daemon->is_writing_status || daemon->published_decisions == NULL)
    return;
  if (!daemon->is_status_known)
    {
      daemon->is_writing_status = true;
      bd_store_read (&daemon->platform, BD_PRIORITY_STATUS, BD_KEY_STATUS,
                     PLATFORM_TIMEOUT_MS, handle_status_read, daemon);
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
  bd_store_update (&daemon->platform, BD_PRIORITY_STATUS, BD_KEY_STATUS,
                   daemon->status_version, daemon->status_envelope, status,
                   PLATFORM_TIMEOUT_MS, handle_status_written, daemon);
}
