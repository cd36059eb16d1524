include(GNUInstallDirs)
include(CMakePackageConfigHelpers)

# Two components: `library` is what others embed, `program` the daemon.
set(PACKAGE_DIR ${CMAKE_INSTALL_LIBDIR}/cmake/dragonflymill)

install(TARGETS dragonflymill EXPORT dragonflymillTargets COMPONENT library)
install(DIRECTORY include/dragonflymill DESTINATION ${CMAKE_INSTALL_INCLUDEDIR} COMPONENT library
    FILES_MATCHING PATTERN "*.h")
install(EXPORT dragonflymillTargets NAMESPACE dragonflymill:: DESTINATION ${PACKAGE_DIR} COMPONENT library)
configure_package_config_file(cmake/dragonflymillConfig.cmake.in
    ${CMAKE_BINARY_DIR}/dragonflymillConfig.cmake INSTALL_DESTINATION ${PACKAGE_DIR})
write_basic_package_version_file(${CMAKE_BINARY_DIR}/dragonflymillConfigVersion.cmake
    COMPATIBILITY SameMajorVersion)
install(FILES ${CMAKE_BINARY_DIR}/dragonflymillConfig.cmake ${CMAKE_BINARY_DIR}/dragonflymillConfigVersion.cmake
    DESTINATION ${PACKAGE_DIR} COMPONENT library)

install(TARGETS dragonflymill_exe COMPONENT program)
