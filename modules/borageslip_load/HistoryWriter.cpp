#include "HistoryWriter.h"

#include <chrono>

namespace borageslip {

HistoryWriter::HistoryWriter(const std::string& path)
{
    if (!path.empty())
        m_file.open(path, std::ios::trunc);
}

void HistoryWriter::write(nlohmann::json event)
{
    using namespace std::chrono;
    event["at_us"] = duration_cast<microseconds>(system_clock::now().time_since_epoch()).count();
    const auto line = event.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
    const std::lock_guard lock(m_mutex);
    m_file << line << '\n';
}

}
