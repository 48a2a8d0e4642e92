#include "bilberrylead/agreement/snapshot_receiver.hpp"

#include <memory>
#include <utility>

namespace bilberrylead::agreement
{

snapshot_receiver::snapshot_receiver(replica_core& shared,
                                     log_applier& to_apply)
    : core(shared), applier(to_apply)
{
}

void snapshot_receiver::on_install_snapshot_request(
    host_id const& from, install_snapshot_request const& request)
{
    bool const sane =
        request.total_size <= this->core.settings.max_snapshot_bytes &&
        request.offset <= request.total_size &&
        request.chunk.size() <= request.total_size - request.offset;
    if (!sane)
    {
        return;
    }
    install_snapshot_reply reply{request.round, request.last_index, 0, true};
    if (request.last_index > this->core.commit_index)
    {
        this->add_chunk(request);
        reply.next_offset = this->incoming.state.size();
        reply.installed = reply.next_offset == request.total_size;
        if (reply.installed)
        {
            this->applier.install(std::make_shared<snapshot const>(
                std::exchange(this->incoming, snapshot())));
        }
    }
    this->core.send_after_sync(from, reply);
}

bool snapshot_receiver::matches_incoming(
    install_snapshot_request const& request) const
{
    return this->incoming.last_index == request.last_index &&
           this->incoming.last_term == request.last_term;
}

void snapshot_receiver::add_chunk(install_snapshot_request const& request)
{
    if (!this->matches_incoming(request))
    {
        this->incoming = snapshot{request.last_index, request.last_term,
                                  request.membership, bytes()};
    }
    bytes& state = this->incoming.state;
    if (request.offset == state.size())
    {
        state.insert(state.end(), request.chunk.begin(), request.chunk.end());
    }
}

} // namespace bilberrylead::agreement
