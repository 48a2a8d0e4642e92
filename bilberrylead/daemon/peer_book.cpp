#include "bilberrylead/daemon/peer_book.hpp"

#include "bilberrylead/link/peer_node.hpp"

#include <utility>

namespace bilberrylead::daemon
{

peer_book::peer_book(link::peer_node& node, config::endpoint own)
    : peers(node), self(std::move(own))
{
}

void peer_book::set_seeds(std::vector<config::endpoint> const& wanted)
{
    this->seeds.clear();
    for (config::endpoint const& seed : wanted)
    {
        this->seeds.insert({seed.address, this->self.port});
    }
    this->apply();
}

void peer_book::set_named(std::uint64_t source,
                          std::vector<host_id> const& hosts)
{
    std::set<config::endpoint>& of_source = this->named[source];
    of_source.clear();
    for (host_id const& host : hosts)
    {
        of_source.insert({host.text(), this->self.port});
    }
    this->apply();
}

void peer_book::forget_source(std::uint64_t source)
{
    // What it named stays until another source speaks: a process that lost
    // all of its links still has to know whom to call.
    if (this->named.size() > 1 && this->named.erase(source) > 0)
    {
        this->apply();
    }
}

void peer_book::apply()
{
    std::set<config::endpoint> wanted = this->seeds;
    for (auto const& [source, hosts] : this->named)
    {
        wanted.insert(hosts.begin(), hosts.end());
    }
    wanted.erase(this->self);
    for (config::endpoint const& address : wanted)
    {
        if (this->dialled.insert(address).second)
        {
            this->peers.dial(address);
        }
    }
    std::erase_if(this->dialled,
                  [this, &wanted](config::endpoint const& address)
                  {
                      if (wanted.contains(address))
                      {
                          return false;
                      }
                      this->peers.forget(address);
                      return true;
                  });
}

} // namespace bilberrylead::daemon
