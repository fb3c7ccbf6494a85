// The job API of an entry: validates jobs and forwards them to the owner of
// their shard.
#ifndef WAXWINGFRONT_JOBS_JOB_SERVICE_H_
#define WAXWINGFRONT_JOBS_JOB_SERVICE_H_

#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>

#include "waxwingfront/bundle/bundle_view.h"
#include "waxwingfront/core/clock.h"
#include "waxwingfront/core/error.h"
#include "waxwingfront/hosts/host_view.h"
#include "waxwingfront/schema/gen/job.pb.h"
#include "waxwingfront/schema/gen/peer.pb.h"

namespace waxwingfront::store {
class store_client;
}

namespace waxwingfront::shard {
class shard_owner;
}

namespace waxwingfront::jobs {

struct job_service_options {
  std::function<std::shared_ptr<const bundle::bundle_view>()> policy;
  std::function<std::shared_ptr<const hosts::host_view>()> hosts;
  // Returns the owner object of a shard that this entry owns; null if another
  // entry owns it.
  std::function<std::shared_ptr<shard::shard_owner>(std::string_view shard)>
      local_owner;
  // Returns the peer address of the entry that owns a shard.
  std::function<std::optional<std::string>(std::string_view shard)>
      owner_address;
  // Sends a request to another entry.
  std::function<core::result<schema::peer_response>(
      const std::string& address, const schema::peer_request& request,
      core::milliseconds limit)>
      call_peer;
  // Time limit of one operation.
  core::milliseconds operation_timeout{5000};
};

class job_service {
 public:
  // `store` must outlive this object.
  job_service(job_service_options options, const store::store_client& store);

  // Accepts a job; success means that it has been persisted. A job without an
  // id gets a random one. Resubmitting the same specification returns the job's
  // current status.
  core::result<schema::job_status> Submit(schema::job_spec spec);
  core::result<schema::job_status> Status(std::string_view job);
  core::result<schema::job_status> Cancel(std::string_view job);

  // Executes a request from another entry, for a shard that this entry owns.
  schema::peer_response HandlePeer(const schema::peer_request& request);

 private:
  // Validates the job and returns the shards that it can be placed in.
  core::result<std::set<std::string>> FindPlaceableShards(
      const schema::job_spec& spec) const;
  core::result<std::string> LocateOrAssign(const std::string& job,
                                           const std::set<std::string>& shards);
  // Handles a submission that the current bundle or hosts reject: it may repeat
  // a job that was accepted earlier, and then succeeds.
  core::result<schema::job_status> ResubmitAccepted(
      schema::job_spec spec, const core::error& rejection);
  core::result<schema::job_status> SubmitToShard(const std::string& shard,
                                                 schema::job_spec spec);
  core::result<std::string> Locate(std::string_view job) const;
  // Executes the request here or forwards it to the shard's owner.
  core::result<schema::job_status> Route(const std::string& shard,
                                         const schema::peer_request& request);
  core::result<schema::job_status> Execute(
      shard::shard_owner& owner, const schema::peer_request& request) const;

  job_service_options options_;
  const store::store_client& store_;
};

}  // namespace waxwingfront::jobs

#endif  // WAXWINGFRONT_JOBS_JOB_SERVICE_H_
