#include "bilberrylead/http/upstream_connection.hpp"

#include "bilberrylead/link/quiet_socket.hpp"

#include <linux/sockios.h>
#include <sys/ioctl.h>

namespace bilberrylead::http
{

bool upstream_connection::spoiled()
{
    return this->buffer.size() > 0 || !this->socket.is_open() ||
           !link::is_quiet(this->socket.native_handle());
}

bool upstream_connection::has_unacknowledged()
{
    // Where the system does not tell, what was written counts as received.
    int count = 0;
    return ::ioctl(this->socket.native_handle(), SIOCOUTQ, &count) == 0 &&
           count > 0;
}

} // namespace bilberrylead::http
