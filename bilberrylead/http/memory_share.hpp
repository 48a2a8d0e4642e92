#ifndef BILBERRYLEAD_HTTP_MEMORY_SHARE_HPP
#define BILBERRYLEAD_HTTP_MEMORY_SHARE_HPP

#include <cstddef>
#include <memory>
#include <utility>

namespace bilberrylead::http
{

class server_core;

/// What one request holds of the host's memory bound; returns it at its end.
class memory_share
{
public:
    /// Holds nothing of that host's memory yet.
    explicit memory_share(std::shared_ptr<server_core> owner)
        : core(std::move(owner))
    {
    }

    ~memory_share();
    memory_share(memory_share const&) = delete;
    memory_share& operator=(memory_share const&) = delete;

    /// Takes more; false if there is none left.
    bool take(std::size_t count);

    /// Takes more for work ahead of an unanswered request; false if less than
    /// half of the host's memory would be left.
    bool take_ahead(std::size_t count);

    /// The same for a held answer, which is counted apart as well.
    bool take_for_answer(std::size_t count);

private:
    std::shared_ptr<server_core> core;
    std::size_t held = 0;
    std::size_t held_for_answer = 0;
};

} // namespace bilberrylead::http

#endif
