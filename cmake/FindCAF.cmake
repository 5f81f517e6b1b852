# Debian's libcaf-dev has no CMake package file.
find_path(CAF_INCLUDE_DIR caf/actor_system.hpp)
find_library(CAF_CORE_LIBRARY caf_core)
include(FindPackageHandleStandardArgs)
find_package_handle_standard_args(CAF REQUIRED_VARS CAF_CORE_LIBRARY CAF_INCLUDE_DIR)
if(CAF_FOUND AND NOT TARGET CAF::core)
    add_library(CAF::core UNKNOWN IMPORTED)
    set_target_properties(CAF::core PROPERTIES
        IMPORTED_LOCATION ${CAF_CORE_LIBRARY}
        INTERFACE_INCLUDE_DIRECTORIES ${CAF_INCLUDE_DIR})
endif()
