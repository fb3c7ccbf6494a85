// The job API of an entry: checks jobs and passes them to the owner of their
// shard.
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
  // Owner object of a shard of this entry; null for others.
  std::function<std::shared_ptr<shard::shard_owner>(std::string_view shard)>
      local_owner;
  // Peer address of the entry that owns a shard.
  std::function<std::optional<std::string>(std::string_view shard)>
      owner_address;
  // Calls another entry.
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

  // Accepts a job; success means that it is in the store. A job without an id
  // gets a random one. A repeated submission of the same specification gives
  // the job's present status.
  core::result<schema::job_status> Submit(schema::job_spec spec);
  core::result<schema::job_status> Status(std::string_view job);
  core::result<schema::job_status> Cancel(std::string_view job);

  // Carries out a request of another entry, for a shard that this entry owns.
  schema::peer_response HandlePeer(const schema::peer_request& request);

 private:
  // Checks the job and gives the shards that may hold it.
  core::result<std::set<std::string>> FindShards(
      const schema::job_spec& spec) const;
  core::result<std::string> LocateOrPlace(const std::string& job,
                                          const std::set<std::string>& shards);
  // Answers a submission that the present bundle or hosts rule out: it may
  // repeat one that was accepted before.
  core::result<schema::job_status> SubmitKnown(schema::job_spec spec,
                                               const core::error& refusal);
  core::result<schema::job_status> SubmitTo(const std::string& shard,
                                            schema::job_spec spec);
  core::result<std::string> Locate(std::string_view job) const;
  // Carries the request out here or at the shard's owner.
  core::result<schema::job_status> Route(const std::string& shard,
                                         const schema::peer_request& request);
  core::result<schema::job_status> CarryOut(
      shard::shard_owner& owner, const schema::peer_request& request) const;

  job_service_options options_;
  const store::store_client& store_;
};

}  // namespace waxwingfront::jobs

#endif  // WAXWINGFRONT_JOBS_JOB_SERVICE_H_
