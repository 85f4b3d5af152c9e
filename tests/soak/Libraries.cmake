target_link_libraries(soak-tests PRIVATE ftb_soak)
